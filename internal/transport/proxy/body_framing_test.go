package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/internal/transport/peer"
	"wigeonspring.example/wigeonspring/standin/relay"
	"wigeonspring.example/wigeonspring/standin/relay/relaytest"
)

// bodyModes are the ways in which a node handles a body of a request that is not idempotent.
var bodyModes = map[string]func(*OwnerOptions, *IngressOptions){
	"read ahead":         func(_ *OwnerOptions, in *IngressOptions) { in.MaxBufferedBodyBytes = 1 << 20 },
	"read ahead in part": func(_ *OwnerOptions, in *IngressOptions) { in.MaxBufferedBodyBytes, in.ExpectContinue = 5, true },
	"streamed":           func(_ *OwnerOptions, in *IngressOptions) { in.MaxBufferedBodyBytes, in.BodyBufferBytes = 1<<20, 1 },
}

// Guards against a body whose sender failed that a backend server takes for whole.
func TestBodyThatEndsEarlyIsNeverWhole(t *testing.T) {
	const deadline = 400 * time.Millisecond
	write := func(text string, then func(*net.TCPConn)) func(*net.TCPConn) {
		return func(c *net.TCPConn) {
			_, _ = io.WriteString(c, text)
			time.Sleep(20 * time.Millisecond)
			then(c)
		}
	}
	reset := func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }
	fin := func(c *net.TCPConn) { _ = c.CloseWrite() }
	chunks, length := "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n", "Content-Length: 50\r\n\r\nfirst"
	http1 := func(start string, end func(*net.TCPConn)) func(*testing.T, *testFleet) {
		return func(t *testing.T, f *testFleet) {
			c, _ := f.dialCaller(t)
			_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: booking.test\r\n%s: %d\r\n%s", header.DeadlineMillis, deadline.Milliseconds(), start)
			time.Sleep(50 * time.Millisecond)
			end(c.(*net.TCPConn))
		}
	}
	http2 := func(end func(net.Conn, *io.PipeWriter)) func(*testing.T, *testFleet) {
		return func(t *testing.T, f *testFleet) {
			c, _ := f.dialCaller(t)
			tr := &http.Transport{Protocols: new(http.Protocols), DialContext: func(context.Context, string, string) (net.Conn, error) { return c, nil }}
			tr.Protocols.SetUnencryptedHTTP2(true)
			f.t.Cleanup(tr.CloseIdleConnections)
			body, w := io.Pipe()
			req, _ := http.NewRequest(http.MethodPost, "http://booking.test/", body)
			req.Header.Set(header.DeadlineMillis, fmt.Sprint(deadline.Milliseconds()))
			go func() {
				if resp, err := tr.RoundTrip(req); err == nil {
					_ = resp.Body.Close()
				}
			}()
			_, _ = io.WriteString(w, "first")
			time.Sleep(50 * time.Millisecond)
			end(c, w)
		}
	}
	late := func(c *net.TCPConn) {
		time.Sleep(deadline + 100*time.Millisecond)
		_, _ = io.WriteString(c, "4\r\nrest\r\n0\r\n\r\n")
	}
	senders := map[string]func(*testing.T, *testFleet){
		"reset in a chunk":               http1(chunks, write("5\r\nre", reset)),
		"FIN in a chunk":                 http1(chunks, write("5\r\nre", fin)),
		"FIN in a chunk's size":          http1(chunks, write("5", fin)),
		"reset between chunks":           http1(chunks, reset),
		"FIN between chunks":             http1(chunks, fin),
		"FIN before the last line break": http1(chunks, write("0\r\n", fin)),
		"FIN in a trailer":               http1(chunks, write("0\r\nX-A: b\r\n", fin)),
		"malformed chunk":                http1(chunks, write("zz\r\nrest\r\n0\r\n\r\n", func(*net.TCPConn) {})),
		"rest never comes":               http1(chunks, func(*net.TCPConn) {}),
		"rest comes late":                http1(chunks, late),
		"FIN before the length":          http1(length, fin),
		"HTTP/2 stream reset":            http2(func(_ net.Conn, w *io.PipeWriter) { _ = w.CloseWithError(io.ErrUnexpectedEOF) }),
		"HTTP/2 connection reset":        http2(func(c net.Conn, _ *io.PipeWriter) { reset(c.(*net.TCPConn)) }),
		"HTTP/2 rest never comes":        http2(func(net.Conn, *io.PipeWriter) {}),
	}
	for mode, edit := range bodyModes {
		for owner := range 2 {
			for name, send := range senders {
				t.Run(fmt.Sprintf("%s/owner %d/%s", mode, owner, name), func(t *testing.T) {
					t.Parallel()
					f := newFleet(t, 2, edit)
					f.serve(owner, "b1", func(_ http.ResponseWriter, r *http.Request) {
						if b, err := io.ReadAll(r.Body); err == nil {
							t.Errorf("the backend server took %q for whole", b)
						}
					})
					send(t, f)
					time.Sleep(deadline + 100*time.Millisecond)
				})
			}
		}
	}
}

// Guards against the part of a body that arrived before its connection between two nodes failed,
// or before another process replaced the owner at its address, that is taken for whole.
func TestHalfSentBodyBetweenNodesIsNeverWhole(t *testing.T) {
	const large = 400 << 10 // above the windows of HTTP/2 and the buffers of the sockets
	failures := map[string]func(f *testFleet, link *relay.Relay, listen string){
		"reset":   func(_ *testFleet, l *relay.Relay, _ string) { l.ResetConnections() },
		"silent":  func(_ *testFleet, l *relay.Relay, _ string) { l.StallConnections() },
		"ingress": func(f *testFleet, _ *relay.Relay, _ string) { f.nodes[0].peers.Close() },
		"owner":   func(f *testFleet, _ *relay.Relay, _ string) { _ = f.nodes[1].peerServer.Close() },
		"owner is replaced": func(f *testFleet, _ *relay.Relay, listen string) {
			n := f.nodes[1]
			_ = n.peerServer.Close()
			l, err := net.Listen("tcp", listen)
			if err != nil {
				t.Error(err)
				return
			}
			opt := n.owner.opt
			opt.OwnsIncarnation = func(incarnation uint64) bool { return incarnation == 2 }
			n.peerServer = peer.NewServer(NewOwner(opt))
			go func() { _ = n.peerServer.Serve(l) }()
		},
	}
	for mode, edit := range bodyModes {
		for name, fail := range failures {
			t.Run(mode+"/"+name, func(t *testing.T) {
				t.Parallel()
				f, begun, failed := newFleet(t, 2, edit), make(chan struct{}), make(chan struct{})
				var whole atomic.Int32
				listen := f.nodes[1].addr
				link := relaytest.Start(t, listen)
				f.nodes[1].addr = link.Addr()
				f.serve(1, "b1", func(_ http.ResponseWriter, r *http.Request) {
					_, _ = io.ReadFull(r.Body, make([]byte, 1000))
					close(begun)
					<-failed
					time.Sleep(100 * time.Millisecond)
					if n, err := io.Copy(io.Discard, r.Body); err == nil {
						whole.Add(1)
						if n != 2*large-1000 {
							t.Errorf("the backend server took %d bytes less for whole", 2*large-1000-n)
						}
					}
				})
				half := strings.Repeat("x", large)
				body := io.MultiReader(strings.NewReader(half), readerFunc(func([]byte) (int, error) {
					if mode != "read ahead" { // Otherwise the attempt begins with the whole body.
						<-failed
					}
					return 0, io.EOF
				}), strings.NewReader(half))
				done := make(chan result, 1)
				go func() { done <- f.send(0, http.MethodPost, "/", body) }()
				<-begun
				fail(f, link, listen)
				close(failed)
				if got := <-done; got.outcome == header.Answered && whole.Load() != 1 || got.outcome == header.NotRun && whole.Load() > 0 {
					t.Errorf("%s, %s although %d ran", got.outcome, got.reason, whole.Load())
				}
				time.Sleep(400 * time.Millisecond)
			})
		}
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
