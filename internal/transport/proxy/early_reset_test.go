package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/evidence"
)

// earlyEnd is a response of a backend server before the end of the upload, and how its
// connection ends.
type earlyEnd struct {
	name, response string
	// afterUpload reads the whole upload before the connection ends.
	afterUpload bool
	// orderly shuts the connection down instead of resetting it.
	orderly bool
}

// serve responds to the upload on a connection.
func (e earlyEnd) serve(runs *atomic.Int64) func(net.Conn) {
	return func(c net.Conn) {
		tcp := c.(*net.TCPConn)
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		runs.Add(1)
		if e.afterUpload {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		_, _ = io.WriteString(c, e.response)
		if e.orderly {
			_ = tcp.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
			return
		}
		time.Sleep(5 * time.Millisecond) // The response arrives before the reset.
		_ = tcp.SetLinger(0)
	}
}

// Guards against an upload whose response is cut by a reset and reaches the caller as a whole
// one. The write of the upload can take the error of the socket, upon which the read of the
// response sees an ordinary end.
func TestResponseResetDuringUploadIsNotWhole(t *testing.T) {
	const head, part = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n", "the first part"
	ends := []earlyEnd{
		{name: "in the head", response: head},
		{name: "before the body", response: head + "\r\n"},
		{name: "in the body", response: head + "\r\n" + part},
		{name: "in the body, connection closes", response: head + "Connection: close\r\n\r\n" + part},
		{name: "in the body, HTTP/1.0", response: "HTTP/1.0 200 OK\r\n\r\n" + part},
		{name: "in the body, chunks", response: head + "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n"},
		{name: "after the upload", response: head + "\r\n" + part, afterUpload: true},
		{name: "orderly end", response: head + "\r\n" + part, orderly: true},
		{name: "orderly end after the upload", response: head + "\r\n" + part, afterUpload: true, orderly: true},
	}
	const rounds = 3
	for _, e := range ends {
		for owner, shape := range []string{"one node", "two nodes"} {
			t.Run(e.name+"/"+shape, func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, 2)
				for _, n := range f.nodes {
					n.backends.opt.CloseDelimited = true
				}
				var runs atomic.Int64
				f.own(owner, "b1", serveRaw(t, e.serve(&runs)), 4)
				sent := int64(0)
				for _, caller := range uploadCallers {
					for _, chunked := range []bool{false, true} {
						for range rounds {
							status, body, whole := caller.upload(t, f.nodes[0].callerServer.Listener.Addr().String(), chunked)
							sent++
							if whole && status == http.StatusOK && !e.orderly {
								t.Errorf("%s, chunked %t: status %d, body %q, taken for whole", caller.name, chunked, status, body)
							}
							if e.orderly && (!whole || body != part) {
								t.Errorf("%s, chunked %t: status %d, body %q, whole %t, want the whole response", caller.name, chunked, status, body, whole)
							}
						}
					}
				}
				if got := runs.Load(); got != sent {
					t.Errorf("%d uploads ran %d times", sent, got)
				}
				for _, o := range f.nodes[owner].observations() {
					if (o.Kind == evidence.Success) != e.orderly {
						t.Errorf("counted as %s", o.Kind)
					}
				}
			})
		}
	}
}

// uploadBytes exceeds what the buffers of all connections of a request hold together.
const uploadBytes = 8 << 20

// uploadCaller sends uploads in one version of HTTP.
type uploadCaller struct {
	name string
	// upload reports whether the response looks whole.
	upload func(t *testing.T, addr string, chunked bool) (status int, body string, whole bool)
}

var uploadCallers = []uploadCaller{
	{"HTTP/1.1", uploadWith(new(http.Transport), false)},
	{"HTTP/1.1, connection closes", uploadWith(new(http.Transport), true)},
	{"HTTP/2", uploadWith(unencryptedHTTP2(), false)},
	{"HTTP/1.0", uploadHTTP10},
}

func unencryptedHTTP2() *http.Transport {
	t := &http.Transport{Protocols: new(http.Protocols)}
	t.Protocols.SetUnencryptedHTTP2(true)
	return t
}

// limitedZeros is a request body of zeros.
type limitedZeros struct {
	ctx  context.Context
	left int
}

func (z *limitedZeros) Read(p []byte) (int, error) {
	if z.left == 0 {
		return 0, io.EOF
	}
	if err := z.ctx.Err(); err != nil {
		return 0, err
	}
	n := min(len(p), z.left)
	clear(p[:n])
	z.left -= n
	return n, nil
}

func uploadWith(transport *http.Transport, closes bool) func(*testing.T, string, bool) (int, string, bool) {
	return func(t *testing.T, addr string, chunked bool) (int, string, bool) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/", &limitedZeros{ctx: ctx, left: uploadBytes})
		if err != nil {
			t.Fatal(err)
		}
		req.Host, req.Close = "booking.test", closes
		if !chunked {
			req.ContentLength = uploadBytes
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			return 0, "", false
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		return resp.StatusCode, string(body), err == nil
	}
}

// uploadHTTP10 writes the request itself. HTTP/1.0 has no chunks, so that the length is always
// declared.
func uploadHTTP10(t *testing.T, addr string, _ bool) (int, string, bool) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	written := make(chan error, 1)
	go func() {
		_, err := fmt.Fprintf(c, "POST / HTTP/1.0\r\nHost: booking.test\r\nContent-Length: %d\r\n\r\n", uploadBytes)
		if err == nil {
			_, err = io.Copy(c, &limitedZeros{ctx: t.Context(), left: uploadBytes})
		}
		written <- err
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", false
	}
	body, err := io.ReadAll(resp.Body)
	// A reset is reported to either the read or the write.
	reset := errors.Is(<-written, syscall.ECONNRESET)
	return resp.StatusCode, string(body), err == nil && !reset
}
