package caller

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"wigeonspring.example/wigeonspring/standin/record"
)

// Ways in which a caller breaks off its body.
const (
	cutByReset     = "reset"      // The connection is reset.
	cutByClose     = "closed"     // The connection is closed.
	cutByHalfClose = "half-close" // The direction to the node is closed; the caller waits for a response.
	cutByFreeze    = "frozen"     // The caller stops sending and closes the connection later.
	cutByTrailer   = "trailer"    // A malformed trailer follows the body, and a hidden request.
)

// cutWays lists the ways that a caller chooses from. It uses cutByTrailer if Options.Origins is
// set, for a part of its bodies in chunks.
var cutWays = []string{cutByReset, cutByClose, cutByHalfClose, cutByFreeze}

const (
	maxSegments      = 5
	maxSegmentedBody = 1200 << 10
	// largeBody is above the size up to which nodes read bodies into memory.
	largeBody       = 520 << 10
	maxSegmentPause = 250 * time.Millisecond
	maxFreeze       = 3 * time.Second
	// halfClosedWait bounds the wait for a response after a half-close.
	halfClosedWait = 5 * time.Second
)

// segments is the plan by which a body is sent.
type segments struct {
	// ends are the offsets at which a pause follows, the last one excepted.
	ends  []int64
	pause time.Duration
	// headFirst adds a pause between the header and the body.
	headFirst bool
	// cut is how the caller breaks off the body after cutAt bytes. It is empty if it does not.
	cut   string
	cutAt int64
	// hidden is the request that follows the trailer of cutByTrailer.
	hidden string
	// freeze is the pause before a frozen caller closes the connection.
	freeze time.Duration
}

// segment selects operations that are sent in segments, and plans them.
func (g *Generator) segment(op *operation, rng *rand.Rand) {
	if rng.Float64()*100 >= g.opts.SegmentedPercent {
		return
	}
	op.segments = &segments{pause: time.Duration(rng.Int64N(int64(cmp.Or(g.opts.SegmentPause, maxSegmentPause))))}
	defer func() { op.segments.headFirst = op.bodyBytes%2 == 1 }()
	if op.bodyBytes == 0 {
		return
	}
	op.bodyBytes = 1 + rng.Int64N(4<<10)
	if rng.IntN(3) == 0 {
		smallest, largest := int64(largeBody), int64(maxSegmentedBody)
		if g.opts.LargestSegmented > 0 {
			smallest, largest = 1, g.opts.LargestSegmented
		}
		op.bodyBytes = smallest + rng.Int64N(largest-smallest)
		op.kind, op.key, op.path = Upload, "", strings.Replace(op.path, kindPaths[op.kind], kindPaths[Upload], 1)
	}
	s := op.segments
	for end := int64(0); end < op.bodyBytes; {
		end = min(op.bodyBytes, end+1+rng.Int64N(2*op.bodyBytes/maxSegments+1))
		s.ends = append(s.ends, end)
	}
	if rng.Float64()*100 >= g.opts.CutPercent {
		return
	}
	s.cut = cutWays[rng.IntN(len(cutWays))]
	s.freeze = time.Duration(rng.Int64N(int64(maxFreeze)))
	s.cutAt = rng.Int64N(op.bodyBytes)
	if op.chunked && rng.IntN(4) == 0 {
		s.cutAt = op.bodyBytes // Only the end of the last chunk is missing.
		if g.opts.Origins != nil {
			s.cut, s.hidden = cutByTrailer, embeddedRequest(g.opts.Headers, g.opts.Host, "trailer-of-"+op.id)
		}
	}
}

// exchangeSegmented sends an operation on a connection that is kept for further ones.
func (g *Generator) exchangeSegmented(op operation, req *http.Request, res *record.Result) {
	conn, err := g.idle.get(op.target)
	if err != nil {
		res.Outcome, res.Error = "transport-error", err.Error()
		return
	}
	_ = conn.SetDeadline(time.Now().Add(g.opts.Timeout))
	sent := make(chan error, 1)
	go func() { sent <- conn.send(op, req) }()
	resp, err := http.ReadResponse(conn.responses, req)
	if err != nil {
		res.Outcome, res.Error = "transport-error", err.Error()
	} else {
		readResponse(resp, res)
	}
	if err != nil {
		_ = conn.Close() // Ends the sending.
	}
	sendErr := <-sent
	if sendErr == nil {
		res.SentAt = conn.sentAt
	}
	if errors.Is(sendErr, errCut) {
		res.Cut = op.segments.cut
	}
	if sendErr != nil || err != nil || resp.Close || res.Outcome == "cut-short" {
		_ = conn.Close()
		return
	}
	g.idle.put(op.target, conn)
}

var errCut = errors.New("the caller broke off its body")

// ownConnection is a connection of a caller that does not use net/http.
type ownConnection struct {
	*net.TCPConn
	responses *bufio.Reader
	// sentAt is when the last byte of a request was sent.
	sentAt time.Time
}

// send sends a request. It returns errCut after it broke off the body as planned.
func (c *ownConnection) send(op operation, req *http.Request) error {
	if _, err := c.Write(requestHead(op, req)); err != nil {
		return err
	}
	if op.segments.headFirst {
		time.Sleep(op.segments.pause)
	}
	body, s, at := newBody(req.Host, op.id, op.bodyBytes), op.segments, int64(0)
	for _, end := range s.ends {
		stop := end
		if s.cut != "" {
			stop = min(end, s.cutAt)
		}
		if err := c.sendSegment(op, body, end-at, stop-at); err != nil {
			return err
		}
		if s.cut != "" && s.cutAt <= end {
			return c.breakOff(s)
		}
		if at = end; end < op.bodyBytes {
			time.Sleep(s.pause)
		}
	}
	if op.chunked && op.bodyBytes > 0 {
		if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil {
			return err
		}
	}
	c.sentAt = time.Now()
	return nil
}

// sendSegment sends the first bytes of a segment of the given size, all of it if n is the size.
func (c *ownConnection) sendSegment(op operation, body io.Reader, size, n int64) error {
	var b bytes.Buffer
	if op.chunked {
		fmt.Fprintf(&b, "%x\r\n", size)
	}
	_, _ = io.CopyN(&b, body, n) // The body is longer, and neither of them fails.
	if op.chunked && n == size {
		b.WriteString("\r\n")
	}
	_, err := c.Write(b.Bytes())
	return err
}

func (c *ownConnection) breakOff(s *segments) error {
	switch s.cut {
	case cutByTrailer:
		_, _ = io.WriteString(c, "0\r\nmalformed\r\n"+s.hidden)
		return errCut
	case cutByHalfClose:
		_ = c.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(halfClosedWait))
		return errCut
	case cutByReset:
		_ = c.SetLinger(0)
	case cutByFreeze:
		time.Sleep(s.freeze)
	}
	_ = c.Close()
	return errCut
}

func requestHead(op operation, req *http.Request) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.URL.RequestURI(), req.Host)
	switch {
	case op.bodyBytes == 0:
	case op.chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	default:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", op.bodyBytes)
	}
	if req.Close {
		b.WriteString("Connection: close\r\n")
	}
	_ = req.Header.Write(&b) // A bytes.Buffer does not fail.
	b.WriteString("\r\n")
	return b.Bytes()
}

// idleConnections are the kept connections by address.
type idleConnections struct {
	mu    sync.Mutex
	conns map[string][]*ownConnection
}

// get returns a kept connection, or a new one. A caller does not notice that a node has
// closed a kept one before it uses it.
func (i *idleConnections) get(address string) (*ownConnection, error) {
	i.mu.Lock()
	if list := i.conns[address]; len(list) > 0 {
		conn := list[len(list)-1]
		i.conns[address] = list[:len(list)-1]
		i.mu.Unlock()
		return conn, nil
	}
	i.mu.Unlock()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &ownConnection{TCPConn: conn.(*net.TCPConn), responses: bufio.NewReader(conn)}, nil
}

func (i *idleConnections) put(address string, conn *ownConnection) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.conns == nil {
		i.conns = map[string][]*ownConnection{}
	}
	i.conns[address] = append(i.conns[address], conn)
}

func (i *idleConnections) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, list := range i.conns {
		for _, conn := range list {
			_ = conn.Close()
		}
	}
}
