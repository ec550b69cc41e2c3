package main

import (
	"net"
	"sync"
	"time"
)

// relay stands for the link between a machine and the other machines: it passes TCP and UDP on
// to the machine's address for nodes, after a delay in each direction.
type relay struct {
	addr, to string
	delay    time.Duration
	tcp      net.Listener
	udp      *net.UDPConn

	mu    sync.Mutex
	peers map[string]*net.UDPConn
}

// addRelay puts a relay before a machine. Other nodes learn its address in place of the machine's.
func (m *machine) addRelay(delay time.Duration) error {
	r := &relay{addr: m.relayAddr(), to: m.addr(peerPort), delay: delay, peers: map[string]*net.UDPConn{}}
	var err error
	if r.tcp, err = net.Listen("tcp", r.addr); err != nil {
		return err
	}
	at, err := net.ResolveUDPAddr("udp", r.addr)
	if err != nil {
		return err
	}
	if r.udp, err = net.ListenUDP("udp", at); err != nil {
		return err
	}
	m.relay = r
	go r.acceptTCP()
	go r.passUDP()
	return nil
}

func (r *relay) acceptTCP() {
	for {
		c, err := r.tcp.Accept()
		if err != nil {
			return
		}
		go func() {
			d, err := net.DialTimeout("tcp", r.to, 300*time.Millisecond)
			if err != nil {
				if t, ok := c.(*net.TCPConn); ok {
					_ = t.SetLinger(0)
				}
				c.Close()
				return
			}
			go r.copyLate(d, c)
			r.copyLate(c, d)
		}()
	}
}

// piece is a part of a stream, and when it leaves the relay.
type piece struct {
	data []byte
	at   time.Time
}

// copyLate passes on a stream, each part after the delay.
func (r *relay) copyLate(to, from net.Conn) {
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			if n > 0 {
				pieces <- piece{b[:n], time.Now().Add(r.delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.at))
		if _, err := to.Write(p.data); err != nil {
			break
		}
	}
	to.Close()
	from.Close()
	for range pieces {
	}
}

func (r *relay) passUDP() {
	b := make([]byte, 64<<10)
	for {
		n, from, err := r.udp.ReadFromUDP(b)
		if err != nil {
			return
		}
		data := append([]byte(nil), b[:n]...)
		r.mu.Lock()
		c := r.peers[from.String()]
		if c == nil {
			to, _ := net.ResolveUDPAddr("udp", r.to)
			if c, err = net.DialUDP("udp", nil, to); err != nil {
				r.mu.Unlock()
				continue
			}
			r.peers[from.String()] = c
			go r.passBack(c, from)
		}
		r.mu.Unlock()
		time.AfterFunc(r.delay, func() { _, _ = c.Write(data) })
	}
}

func (r *relay) passBack(c *net.UDPConn, to *net.UDPAddr) {
	b := make([]byte, 64<<10)
	for {
		n, err := c.Read(b)
		if err != nil {
			if _, ok := err.(*net.OpError); ok && n == 0 {
				time.Sleep(10 * time.Millisecond) // The node is away.
				if r.closed() {
					return
				}
				continue
			}
			return
		}
		data := append([]byte(nil), b[:n]...)
		time.AfterFunc(r.delay, func() { _, _ = r.udp.WriteToUDP(data, to) })
	}
}

func (r *relay) closed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peers == nil
}

func (r *relay) close() {
	r.tcp.Close()
	r.udp.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.peers {
		c.Close()
	}
	r.peers = nil
}
