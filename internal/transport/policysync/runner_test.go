package policysync

import (
	"testing"

	"wigeonspring.example/wigeonspring/internal/coordination/distribution"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// Guards against a notification that goes out without the text of the policy because another
// one about the same version has none.
func TestNotificationKeepsText(t *testing.T) {
	v := distribution.Version{Service: "booking", Epoch: 3}
	for _, texts := range [][2]string{{"text", ""}, {"", "text"}} {
		var sent string
		r := &Runner{opts: Options{SendNotification: func(_ distribution.Version, text []byte, to []registry.NodeID) {
			sent = string(text)
			if len(to) != 2 {
				t.Errorf("sent to %v", to)
			}
		}}}
		r.sendNotifications([]distribution.Notification{
			{To: "n1", Version: v, Text: []byte(texts[0])}, {To: "n2", Version: v, Text: []byte(texts[1])},
		})
		if sent != "text" {
			t.Errorf("%q then %q: sent with %q", texts[0], texts[1], sent)
		}
	}
}
