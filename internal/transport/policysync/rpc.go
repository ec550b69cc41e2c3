package policysync

import (
	"compress/flate"
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5/middleware"
	"github.com/twitchtv/twirp"

	"wigeonspring.example/wigeonspring/internal/coordination/distribution"
	"wigeonspring.example/wigeonspring/internal/protocol/policypb"
	"wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// maxPullServices bounds the services in one PullRequest.
const maxPullServices = 4096

// Handler returns the handler for RPCs from other nodes.
func (r *Runner) Handler() http.Handler {
	plain := policypb.NewPoliciesServer(r)
	// A fleet document with many routes shrinks to less than a tenth. Uncompressed, it spreads
	// too slowly over the links of small VMs to be in force in time.
	compressed := middleware.Compress(flate.BestSpeed, "application/protobuf")(plain)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if strings.HasSuffix(req.URL.Path, "/Pull") {
			compressed.ServeHTTP(w, req)
			return
		}
		plain.ServeHTTP(w, req)
	})
}

// Sync implements policypb.Policies.
func (r *Runner) Sync(_ context.Context, req *policypb.SyncRequest) (*policypb.SyncResponse, error) {
	if len(req.Digests) != distribution.Buckets {
		return nil, twirp.InvalidArgumentError("digests", "wrong number of digests")
	}
	var in distribution.Sync
	copy(in.Digests[:], req.Digests)
	out := r.core.ServeSync(in)
	resp := &policypb.SyncResponse{Confirmed: out.Confirmed}
	for i, differs := range out.Differs {
		if differs {
			resp.Differs = append(resp.Differs, uint32(i))
		}
	}
	for _, v := range out.Versions {
		resp.Have = append(resp.Have, &policypb.Version{Service: v.Service, Epoch: v.Epoch, Hash: v.Hash})
	}
	return resp, nil
}

// Pull implements policypb.Policies.
func (r *Runner) Pull(_ context.Context, req *policypb.PullRequest) (*policypb.PullResponse, error) {
	if len(req.Services) > maxPullServices {
		return nil, twirp.InvalidArgumentError("services", "too many services")
	}
	out := r.core.ServePull(distribution.Pull{Services: req.Services})
	resp := &policypb.PullResponse{More: out.More}
	for _, p := range out.Policies {
		resp.Policies = append(resp.Policies, &policypb.Policy{Service: p.Service, Epoch: p.Epoch, Text: p.Text})
	}
	return resp, nil
}

// TakeOver implements policypb.Policies.
func (r *Runner) TakeOver(_ context.Context, req *policypb.TakeOverRequest) (*policypb.TakeOverResponse, error) {
	in := distribution.Input{TakeOvers: []distribution.TakeOver{{Revision: req.Revision}}}
	if !r.inputs.Offer(in) {
		return nil, twirp.NewError(twirp.ResourceExhausted, "the node is busy")
	}
	return &policypb.TakeOverResponse{}, nil
}

// ConfirmCurrent implements policypb.Policies.
func (r *Runner) ConfirmCurrent(context.Context, *policypb.ConfirmCurrentRequest) (*policypb.ConfirmCurrentResponse, error) {
	resp := &policypb.ConfirmCurrentResponse{}
	if r.opts.Freshness != nil {
		// The age must be read before the digest. The policies only become newer, so that
		// those of the digest are at least as new as the age states.
		age, known := r.opts.Freshness.Age()
		resp.Known, resp.AgeMicros = known, uint64(age.Microseconds())
	}
	resp.Digest = r.core.Table().Digest()
	if g, ok := r.opts.Platform.(platform.Generations); ok {
		resp.PlatformGeneration = g.Generation()
	}
	return resp, nil
}

// AskCurrent asks a peer for the age of its confirmation.
func (r *Runner) AskCurrent(ctx context.Context, to registry.NodeID) (*policypb.ConfirmCurrentResponse, error) {
	addr, err := r.opts.PeerAddress(to)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := policypb.NewPoliciesProtobufClient("http://"+addr, r.opts.PeerClient)
	return client.ConfirmCurrent(ctx, &policypb.ConfirmCurrentRequest{})
}

// call sends a call of the core to a peer and returns the reply.
func (r *Runner) call(ctx context.Context, c distribution.Call) distribution.Reply {
	reply := distribution.Reply{ID: c.ID}
	addr, err := r.opts.PeerAddress(c.To)
	if err != nil {
		reply.Err = err
		return reply
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := policypb.NewPoliciesProtobufClient("http://"+addr, r.opts.PeerClient)
	switch {
	case c.Pull != nil:
		start := time.Now()
		reply.Pull, reply.Err = pull(ctx, client, c.Pull)
		pullDurations.Observe(pullOutcome(reply.Err), time.Since(start))
	case c.Sync != nil:
		reply.Sync, reply.Err = syncTable(ctx, client, c.Sync)
	case c.TakeOver != nil:
		_, reply.Err = client.TakeOver(ctx, &policypb.TakeOverRequest{Revision: c.TakeOver.Revision})
	}
	return reply
}

func pullOutcome(err error) string {
	if err != nil {
		return "failed"
	}
	return "done"
}

func pull(ctx context.Context, client policypb.Policies, p *distribution.Pull) (*distribution.PullReply, error) {
	resp, err := client.Pull(ctx, &policypb.PullRequest{Services: p.Services})
	if err != nil {
		return nil, err
	}
	out := &distribution.PullReply{More: resp.More}
	for _, v := range resp.Policies {
		out.Policies = append(out.Policies, policy.VersionedDocument{Service: v.Service, Epoch: v.Epoch, Text: v.Text})
	}
	return out, nil
}

func syncTable(ctx context.Context, client policypb.Policies, s *distribution.Sync) (*distribution.SyncReply, error) {
	resp, err := client.Sync(ctx, &policypb.SyncRequest{Digests: s.Digests[:]})
	if err != nil {
		return nil, err
	}
	out := &distribution.SyncReply{Confirmed: resp.Confirmed}
	for _, i := range resp.Differs {
		if i < distribution.Buckets {
			out.Differs[i] = true
		}
	}
	for _, v := range resp.Have {
		out.Versions = append(out.Versions, distribution.Version{Service: v.Service, Epoch: v.Epoch, Hash: v.Hash})
	}
	return out, nil
}
