package gossip

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"wigeonspring.example/wigeonspring/internal/coordination/membership"
	"wigeonspring.example/wigeonspring/internal/fault"
	"wigeonspring.example/wigeonspring/internal/protocol/cluster"
	"wigeonspring.example/wigeonspring/internal/protocol/clusterpb"
)

// rpcOverhead approximates the HTTP, TCP and IP headers of one call.
const rpcOverhead = 400

// Handler serves the Cluster RPCs under clusterpb.ClusterPathPrefix.
func (t *Transport) Handler() http.Handler { return clusterpb.NewClusterServer(t) }

// syncLoop runs the directory syncs that the core requests, one at a time.
func (t *Transport) syncLoop(ctx context.Context) {
	defer t.group.Done()
	decoder := cluster.NewDecoder()
	for {
		s, ok := t.syncs.Take(ctx)
		if !ok {
			return
		}
		err := t.syncWith(ctx, decoder, s)
		if err != nil {
			counters.Add("sync_errors", 1)
			t.opts.Logger.Debug("directory sync failed", zap.String("peer", s.Peer.Addr), zap.Error(err))
		}
		// The core starts no further sync until SyncDone has reported the end of this
		// one.
		for t.do(ctx, func() { t.core.SyncDone(time.Now(), s, err) }) != nil {
			select {
			case <-ctx.Done():
				return
			case <-time.After(membership.TickInterval):
			}
		}
	}
}

func (t *Transport) syncWith(ctx context.Context, decoder *cluster.Decoder, s membership.Sync) error {
	ctx, cancel := context.WithTimeout(ctx, t.opts.SyncTimeout)
	defer cancel()
	client := clusterpb.NewClusterProtobufClient("http://"+s.Peer.Addr, t.opts.PeerClient)
	var req *membership.SyncRequest
	if err := t.do(ctx, func() { req = t.core.SyncStart(s.Fill) }); err != nil {
		return fault.New("start directory sync", s.Peer.Addr, err)
	}
	// The first round compares the directories and the second exchanges what differs.
	// More rounds are only needed if the directories change during the sync. The next
	// sync then exchanges the rest.
	for round := 0; req != nil && round < 2; round++ {
		out := cluster.EncodeSyncRequest(req)
		size := proto.Size(out) + rpcOverhead
		resp, err := client.SyncDirectory(ctx, out)
		if err != nil {
			return fault.New("sync directory", s.Peer.Addr, err)
		}
		counters.Add("sync_bytes_sent", int64(size))
		counters.Add("sync_bytes_received", int64(proto.Size(resp)+rpcOverhead))
		in := decoder.DecodeSyncResponse(resp)
		err = t.do(ctx, func() {
			t.core.Debit(size)
			req = t.core.SyncContinue(time.Now(), s, in)
		})
		if err != nil {
			return fault.New("apply directory sync", s.Peer.Addr, err)
		}
	}
	return nil
}

// SyncDirectory implements clusterpb.Cluster.
func (t *Transport) SyncDirectory(ctx context.Context, in *clusterpb.SyncDirectoryRequest) (*clusterpb.SyncDirectoryResponse, error) {
	t.serveMu.Lock()
	req := t.serveDecoder.DecodeSyncRequest(in)
	t.serveMu.Unlock()
	var resp *membership.SyncResponse
	if err := t.do(ctx, func() { resp = t.core.SyncServe(time.Now(), "", req) }); err != nil {
		return nil, err
	}
	out := cluster.EncodeSyncResponse(resp)
	size := proto.Size(out) + rpcOverhead
	counters.Add("sync_bytes_sent", int64(size))
	counters.Add("sync_bytes_received", int64(proto.Size(in)+rpcOverhead))
	if !req.Fill {
		// The fill of a starting node is not charged to the send budget.
		t.calls.Offer(func() { t.core.Debit(size) })
	}
	return out, nil
}
