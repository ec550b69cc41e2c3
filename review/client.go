package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// newID returns a new request id in the form of the pages.
func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

type request struct {
	method, host, path, id, body string
	deadline                     time.Duration
}

type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends a request on a new connection, byte for byte as given, and reads the answer.
func send(addr string, r request) answer {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(r.deadline + 2*time.Second))
	text := fmt.Sprintf(wire("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n{deadline}: %d\r\n"), r.method, r.path, r.host, r.id, r.deadline.Milliseconds())
	if r.body != "" || r.method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	if _, err := io.WriteString(c, text+"\r\n"+r.body); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

func (a answer) String() string {
	if a.err != nil && a.status == 0 {
		return fmt.Sprintf("no answer: %v", a.err)
	}
	text := a.body
	if len(text) > 60 {
		text = text[:60] + "..."
	}
	return fmt.Sprintf(wire("%d, Request-Id %q, {signature} %q, body %q, error %v"), a.status, a.header.Get("Request-Id"), a.header.Get(wire("{signature}")), text, a.err)
}
