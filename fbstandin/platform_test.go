package fbstandin_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/filbertford/filbertford/fbstandin"
)

func TestVMListShowsChangesAfterLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := fbstandin.NewPlatform(2 * time.Second).Handler()
		listed := func() bool {
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/vms", nil))
			return strings.Contains(w.Body.String(), `"t9"`)
		}
		post(h, "/vms", `{"id":"t9","role":"target","data_centre":"nordnes","address":"127.0.0.1:1"}`)
		time.Sleep(2*time.Second - 1)
		if listed() {
			t.Error("new VM is listed before the lag has passed")
		}
		time.Sleep(1)
		if !listed() {
			t.Error("new VM is not listed after the lag")
		}
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodDelete, "/vms/t9", nil))
		if !listed() {
			t.Error("removed VM is not listed before the lag has passed")
		}
		time.Sleep(2 * time.Second)
		if listed() {
			t.Error("removed VM is listed after the lag")
		}
	})
}
