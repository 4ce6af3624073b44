package fbplatform

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/filbertford/filbertford"
)

// Limits of a VM list.
const (
	// MaxVMs is the largest number of VMs in a list.
	MaxVMs = 100_000
	// MaxSlots is the largest number of slots or connections of a VM.
	MaxSlots = 1 << 16
)

type vmsReply struct {
	VMs []vm `json:"vms"`
}

type vm struct {
	ID         string   `json:"id"`
	Role       string   `json:"role"`
	State      string   `json:"state"`
	DataCentre string   `json:"data_centre"`
	Address    string   `json:"address"`
	Rack       string   `json:"rack"`
	Slots      int      `json:"slots"`
	Conns      int      `json:"conns"`
	Services   []string `json:"services"`
}

// cachedList is a VM list as last read, with the ETag by which the platform detects
// whether the list has changed.
type cachedList struct {
	etag string
	vms  []filbertford.VM
}

// VMs returns the live and leaving VMs that the filter selects. A list that
// the platform sends with an ETag is read again only once it has changed.
func (c *Client) VMs(ctx context.Context, f filbertford.VMFilter) ([]filbertford.VM, error) {
	cached := c.loadList(f)
	r, err := c.do(ctx, request{method: http.MethodGet, path: vmsPath(f), etag: cached.etag})
	switch {
	case err != nil:
		return nil, err
	case r.status == http.StatusNotModified && cached.etag != "":
		return slices.Clone(cached.vms), nil
	case r.status != http.StatusOK:
		return nil, unexpectedStatus(r.status)
	}
	vms, err := parseVMs(r.body)
	if err != nil {
		return nil, err
	}
	vms = slices.DeleteFunc(vms, func(v filbertford.VM) bool { return !f.Selects(v) })
	c.storeList(f, cachedList{etag: r.etag, vms: slices.Clone(vms)})
	return vms, nil
}

func (c *Client) loadList(f filbertford.VMFilter) cachedList {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lists[f]
}

func (c *Client) storeList(f filbertford.VMFilter, l cachedList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lists[f] = l
}

// vmsPath returns the path and query of a filtered list.
func vmsPath(f filbertford.VMFilter) string {
	query := make(url.Values)
	if f.Role() != "" {
		query.Set("role", string(f.Role()))
	}
	if f.DataCentre() != "" {
		query.Set("data_centre", string(f.DataCentre()))
	}
	if len(query) == 0 {
		return "/vms"
	}
	return "/vms?" + query.Encode()
}

// parseVMs decodes a VM list. It rejects a list with a malformed VM or with two VMs
// of the same ID as a whole, so that the last valid list stays in use.
func parseVMs(reply []byte) ([]filbertford.VM, error) {
	var r vmsReply
	if err := json.Unmarshal(reply, &r); err != nil {
		return nil, unavailable(err)
	}
	if r.VMs == nil || len(r.VMs) > MaxVMs {
		return nil, eris.Wrapf(filbertford.ErrUnavailable, "VM list is missing or has %d VMs, at most %d are allowed", len(r.VMs), MaxVMs)
	}
	vms := make([]filbertford.VM, 0, len(r.VMs))
	seen := make(map[string]bool, len(r.VMs))
	for i, v := range r.VMs {
		if err := v.validate(); err != nil {
			return nil, eris.Wrapf(filbertford.ErrUnavailable, "VM %d of the list: %v", i, err)
		}
		if seen[v.ID] {
			return nil, eris.Wrapf(filbertford.ErrUnavailable, "VM %q is listed twice", v.ID)
		}
		seen[v.ID] = true
		vms = append(vms, v.decode())
	}
	return vms, nil
}

// validate returns an error that says which field is invalid, or nil.
func (v vm) validate() error {
	role, state := filbertford.Role(v.Role), filbertford.VMState(v.State)
	switch {
	case v.ID == "":
		return eris.New("id is empty")
	case role != filbertford.RoleEntry && role != filbertford.RoleTarget:
		return eris.Errorf("role %q of %q is neither entry nor target", v.Role, v.ID)
	case state != filbertford.VMLive && state != filbertford.VMLeaving:
		return eris.Errorf("state %q of %q is neither live nor leaving", v.State, v.ID)
	case v.Slots < 0 || v.Slots > MaxSlots:
		return eris.Errorf("slots %d of %q are not between 0 and %d", v.Slots, v.ID, MaxSlots)
	case v.Conns < 0 || v.Conns > MaxSlots:
		return eris.Errorf("conns %d of %q are not between 0 and %d", v.Conns, v.ID, MaxSlots)
	}
	if _, _, err := net.SplitHostPort(v.Address); err != nil {
		return eris.Errorf("address %q of %q is not host:port", v.Address, v.ID)
	}
	return nil
}

func (v vm) decode() filbertford.VM {
	return filbertford.NewVM(filbertford.VMID(v.ID), filbertford.Role(v.Role), filbertford.DataCentre(v.DataCentre), v.Address).
		WithState(filbertford.VMState(v.State)).
		WithRack(v.Rack).
		WithCapacity(v.Slots, v.Conns).
		WithServices(v.Services...)
}
