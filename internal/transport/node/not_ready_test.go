package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/transport/policysync"
)

// Guards against a refusal of a node without policies that is held back until the caller has
// sent its body.
func TestNodeWithoutPoliciesRefusesUnfinishedUpload(t *testing.T) {
	n := &Node{policies: policy.NewTable(policy.TableOptions{}), sync: policysync.New(policysync.Options{})}
	s := httptest.NewServer(http.HandlerFunc(n.serveCaller))
	t.Cleanup(s.CloseClientConnections)
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: booking.test\r\nContent-Length: 100\r\n\r\nx")
	_ = c.SetReadDeadline(time.Now().Add(4 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("%+v, %v", resp, err)
	}
}
