package fbcommand_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/filbertford/filbertford/fbcommand"
	"github.com/filbertford/filbertford/fbstandin"
)

// TestEvacuationsListsRows guards against an operator who isn't shown an evacuation in force, or
// that a row which was written has no effect.
func TestEvacuationsListsRows(t *testing.T) {
	store := fbstandin.NewRowStore()
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	store.Evacuate("nordnes")
	store.Evacuate("sor")
	store.EndEvacuation("sor")
	address := server.Listener.Addr().String()
	code, out, _ := runCommand(t, "", "evacuations", "-store", address)
	if code != fbcommand.ExitComplete || !strings.Contains(out, "nordnes") || strings.Contains(out, "sor") {
		t.Errorf("exit code %d, output:\n%s", code, out)
	}
	store.Evacuate("no such name")
	if code, out, _ = runCommand(t, "", "evacuations", "-json", "-store", address); code != fbcommand.ExitError || !strings.Contains(out, `"problem"`) {
		t.Errorf("exit code %d with a malformed row, output:\n%s", code, out)
	}
}
