package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var ids atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x5a00000000000000+ids.Add(1)) }

// result is what a client has seen of one request.
type result struct {
	id       string
	sent     time.Time // the last byte was sent
	ended    time.Time
	status   int
	sig      string
	body     string
	whole    bool
	err      error
	leftover bool
}

func (r result) String() string {
	if r.err != nil {
		return fmt.Sprintf("request %s: connection ended without a complete answer %.3f s after it was sent: %v", r.id, r.ended.Sub(r.sent).Seconds(), r.err)
	}
	return fmt.Sprintf("request %s: %d, signature %q, after %.3f s", r.id, r.status, r.sig, r.ended.Sub(r.sent).Seconds())
}

// send sends one request on a new connection.
func send(n *node, method, host, path string, body []byte, deadline time.Duration) result {
	r := result{id: newID()}
	conn, err := net.DialTimeout("tcp", n.outbound, time.Second)
	if err != nil {
		r.err, r.sent, r.ended = err, time.Now(), time.Now()
		return r
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, host, wire["id"], r.id, wire["deadline"], deadline.Milliseconds())
	if body != nil {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err = conn.Write(append([]byte(head+"\r\n"), body...))
	r.sent = time.Now()
	if err == nil {
		err = r.read(bufio.NewReader(conn))
	}
	r.err, r.ended = err, time.Now()
	return r
}

func (r *result) read(br *bufio.Reader) error {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return err
	}
	b, err := io.ReadAll(resp.Body)
	r.status, r.sig, r.body = resp.StatusCode, resp.Header.Get(wire["signature"]), string(b)
	r.whole = err == nil
	return err
}
