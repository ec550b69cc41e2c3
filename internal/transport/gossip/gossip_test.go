package gossip

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"wigeonspring.example/wigeonspring/internal/coordination/membership"
	"wigeonspring.example/wigeonspring/internal/protocol/clusterpb"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

type testNode struct {
	*Transport
	dir    *registry.Directory
	server *http.Server
}

// start runs a node with UDP and HTTP on the same loopback port.
func start(t *testing.T, i int, change func(*Options)) *testNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	dir := registry.NewDirectory()
	opts := Options{
		Self: registry.Node{
			ID: registry.NodeID(fmt.Sprintf("node-%d", i)), PeerAddr: addr, FailureDomain: "domain-0", Region: "west",
			Backends: []registry.Backend{{ID: registry.BackendID(fmt.Sprintf("backend-%d", i)), Service: "tracking", Slots: 5, Weight: 1}},
		},
		Directory: dir,
	}
	if change != nil {
		change(&opts)
	}
	transport, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(clusterpb.ClusterPathPrefix, transport.Handler())
	n := &testNode{Transport: transport, dir: dir, server: &http.Server{Handler: mux}}
	served := make(chan struct{})
	go func() { defer close(served); _ = n.server.Serve(listener) }()
	transport.Start(t.Context())
	t.Cleanup(func() {
		transport.Stop()
		_ = n.server.Close()
		<-served
		transport.opts.PeerClient.CloseIdleConnections()
	})
	return n
}

// get returns the record of a node in the directory of n, or a dead one if there is
// none.
func (n *testNode) get(id registry.NodeID) registry.Node {
	if found := n.dir.Snapshot().Node(id); found != nil {
		return *found
	}
	return registry.Node{Status: registry.Dead}
}

func eventually(t *testing.T, what string, limit time.Duration, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// Guards against a node that does not fill its directory from a seed. Guards also
// against changes, planned stops and deaths that do not reach the directories of other
// nodes, and against policy notices and digests that do not reach the callbacks.
func TestNodesOverLoopback(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("fleet", func(t *testing.T) {
		var mu sync.Mutex
		notices := map[string]int{}
		mismatches := 0
		var nodes []*testNode
		for i := range 5 {
			nodes = append(nodes, start(t, i, func(o *Options) {
				if i > 0 {
					o.Seeds = []string{nodes[0].Addr()}
				}
				o.PolicyDigest = func() uint64 { return uint64(1 + i/4) }
				o.OnPolicyDigest = func(_ membership.Peer, digest uint64) {
					if digest != uint64(1+i/4) {
						mu.Lock()
						mismatches++
						mu.Unlock()
					}
				}
				o.OnPolicyNotice = func(_ membership.Peer, n membership.PolicyNotice) { mu.Lock(); notices[n.Hash]++; mu.Unlock() }
			}))
		}
		eventually(t, "every directory holds every node with its backend server", 10*time.Second, func() bool {
			for _, a := range nodes {
				for _, b := range nodes {
					if got := a.get(b.opts.Self.ID); got.Status != registry.Alive || len(got.Backends) != 1 {
						return false
					}
				}
			}
			return true
		})
		if !nodes[0].SendPolicyNotice(membership.PolicyNotice{Service: "tracking", Epoch: 4, Hash: "abc"}, []registry.NodeID{"node-1", "node-2", "node-3", "node-4"}) {
			t.Fatal("policy notice not accepted")
		}
		eventually(t, "policy notice at all 4 peers, digest mismatch seen", 10*time.Second, func() bool {
			mu.Lock()
			defer mu.Unlock()
			return notices["abc"] == 4 && mismatches > 0
		})
		changed := nodes[1].opts.Self
		changed.Backends = []registry.Backend{{ID: "backend-1", Service: "tracking", Slots: 5, Weight: 1, State: registry.Draining}}
		nodes[1].UpdateSelf(changed)
		eventually(t, "draining backend server known everywhere", 10*time.Second, func() bool {
			for _, n := range nodes {
				if got := n.get("node-1"); len(got.Backends) != 1 || got.Backends[0].State != registry.Draining {
					return false
				}
			}
			return true
		})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if err := nodes[2].Leave(ctx); err != nil {
			t.Fatal(err)
		}
		eventually(t, "planned stop known", 5*time.Second, func() bool { return nodes[0].get("node-2").Status == registry.Leaving })
		nodes[3].Stop()
		_ = nodes[3].server.Close()
		eventually(t, "stopped node declared dead", 20*time.Second, func() bool {
			return nodes[0].get("node-3").Status == registry.Dead && nodes[4].get("node-3").Status == registry.Dead
		})
	})
}

// Guards against a starting node that waits for a peer whose connection is silent, and
// meanwhile learns of no other node.
func TestSilentPeerDoesNotDelayDirectorySync(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	client := NewPeerClient()
	t.Cleanup(client.CloseIdleConnections)
	begun := time.Now()
	// A node has to recover from a fault within 3 s, and the next peer takes 1 s.
	ctx, cancel := context.WithTimeout(t.Context(), DefaultSyncTimeout)
	defer cancel()
	_, err = clusterpb.NewClusterProtobufClient("http://"+silent.Addr().String(), client).SyncDirectory(ctx, &clusterpb.SyncDirectoryRequest{})
	if took := time.Since(begun); err == nil || took > 2*time.Second {
		t.Errorf("%v after %s", err, took)
	}
}

// Guards against a starting node that waits for a peer that answers no connection attempt, as
// a VM without power.
func TestUnreachablePeerDoesNotDelayDirectorySync(t *testing.T) {
	client := NewPeerClient()
	t.Cleanup(client.CloseIdleConnections)
	addr := unreachableAddress(t)
	begun := time.Now()
	// As in TestSilentPeerDoesNotDelayDirectorySync.
	ctx, cancel := context.WithTimeout(t.Context(), DefaultSyncTimeout)
	defer cancel()
	_, err := clusterpb.NewClusterProtobufClient("http://"+addr, client).SyncDirectory(ctx, &clusterpb.SyncDirectoryRequest{})
	if took := time.Since(begun); err == nil || took > 2*time.Second {
		t.Errorf("%v after %s", err, took)
	}
}

// unreachableAddress returns an address at which connection attempts are not answered: the
// queue of a listener that accepts nothing is full.
func unreachableAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for range 8 {
		conn, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("the queue of the listener does not fill up")
	return ""
}
