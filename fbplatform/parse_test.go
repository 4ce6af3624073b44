package fbplatform

import (
	"errors"
	"testing"

	"github.com/filbertford/filbertford"
)

func FuzzParseVMs(f *testing.F) {
	f.Add([]byte(`{"vms": [{"id": "t1", "role": "target", "state": "live", "address": "127.0.0.1:1", "slots": 8}]}`))
	f.Add([]byte(`{"vms": []}`))
	f.Fuzz(func(t *testing.T, reply []byte) {
		vms, err := parseVMs(reply)
		if err != nil && (vms != nil || !errors.Is(err, filbertford.ErrUnavailable)) {
			t.Errorf("got %d VMs with error %v, want none and an unavailable platform", len(vms), err)
		}
		for _, vm := range vms {
			if vm.ID() == "" || vm.Address() == "" || vm.Slots() < 0 || vm.Slots() > MaxSlots {
				t.Errorf("accepted invalid VM %+v", vm)
			}
		}
	})
}

func FuzzParseRows(f *testing.F) {
	f.Add([]byte(`{"rows": [{"key": "a", "value": "YQ==", "version": 3}]}`))
	f.Fuzz(func(t *testing.T, reply []byte) {
		rows, err := parseRows(reply, []string{"a"})
		if err != nil {
			if !errors.Is(err, filbertford.ErrUnavailable) {
				t.Error(err)
			}
			return
		}
		if len(rows) != 1 || rows[0].Key() != "a" {
			t.Errorf("accepted rows %+v, want that of key a", rows)
		}
	})
}
