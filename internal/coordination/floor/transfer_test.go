package floor

import (
	"fmt"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Guards against memory that a peer can claim with requests for services that do not exist.
func TestTransferForUnknownServiceKeepsNoState(t *testing.T) {
	h := NewHolder(Options{
		Node: "n1", NewID: func() string { return "id" },
		View: func(id registry.ServiceID) (View, bool) { return View{}, id == "known" },
	})
	for i := range 1000 {
		req := TransferRequest{ID: "r", Service: registry.ServiceID(fmt.Sprint("unknown", i)), Node: "n2"}
		if got := h.HandleTransfer(time.Unix(1000, 0), req); got.Reason != ReasonNoReserve {
			t.Fatalf("%+v", got)
		}
	}
	if n := len(h.services); n > 0 {
		t.Errorf("state of %d services", n)
	}
	h.HandleTransfer(time.Unix(1000, 0), TransferRequest{ID: "r", Service: "known", Node: "n2"})
	if len(h.services) != 1 {
		t.Error("no state of a known service")
	}
}
