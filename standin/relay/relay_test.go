package relay

import (
	"context"
	"net"
	"testing"
	"time"
)

// Guards against a cut of one direction that also affects the other one, and against a
// delay that is not added.
func TestOneWayCutAndDelay(t *testing.T) {
	target, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	r, err := New(Options{Listen: "127.0.0.1:0", Target: target.LocalAddr().String(), Link: Link{DelayMicros: 2000}})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = r.Run(ctx) }()
	client, err := net.Dial("udp", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()

	start := time.Now()
	buf := make([]byte, 16)
	_, _ = client.Write([]byte("one"))
	_, from, err := target.ReadFrom(buf)
	if err != nil || time.Since(start) < 2*time.Millisecond {
		t.Fatalf("first datagram: %v after %v", err, time.Since(start))
	}
	r.SetLink(Link{CutOut: true})
	_, _ = client.Write([]byte("two"))
	_ = target.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, _, err := target.ReadFrom(buf); err != nil {
		t.Fatalf("datagram in the direction that is not cut: %v", err)
	}
	_, _ = target.WriteTo([]byte("back"), from)
	_ = client.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := client.Read(buf); err == nil {
		t.Fatal("datagram passed in the direction that is cut")
	}
}
