package distribution

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

const (
	// pushFanout peers of the failure domain hear of a new epoch from each node.
	pushFanout = 4
	// syncTimeout and pullTimeout bound the calls to a peer. They leave room for a
	// second try within the 4 s in which a policy must be in force. An answer to a
	// pull that comes later is still used, so that a slow link makes progress.
	syncTimeout = 500 * time.Millisecond
	pullTimeout = time.Second
	// pullHedge is the time after which a wanted epoch is also asked of another
	// peer, or another peer is looked for by a sync. An unanswered pull alone would
	// take a quarter of the 4 s.
	pullHedge = 300 * time.Millisecond
	// maxSources are the peers that are remembered as holders of a wanted epoch,
	// and maxTries the pulls for it from each of them.
	maxSources = 4
	maxTries   = 2
	// pushRepeat is the time after which a node pushes a new epoch a second time,
	// to other peers. Four datagrams miss about 2% of the nodes even without loss.
	pushRepeat = time.Second
	// maxPullServices bounds the services in one Pull, and maxPulls the calls at once.
	maxPullServices = 64
	maxPulls        = 8
	// syncDelay is the longest wait between a foreign digest and the sync. Most
	// differences during a change end by a push in this time.
	syncDelay = 100 * time.Millisecond
	// syncRetries is the number of other peers that are asked after a call failed.
	// Waiting for the next foreign digest instead costs up to a second, and two
	// failures in a row then exceed the 4 s.
	syncRetries = 3
	// quietLow and quietHigh bound the time without a digest after which a node
	// syncs with a random peer. A node that hears no digest cannot notice that it
	// is behind, which happens when probes and their answers are lost.
	quietLow  = time.Second
	quietHigh = 1500 * time.Millisecond
	// failureMemory is how long a peer that did not answer is asked last.
	failureMemory = 5 * time.Second
	// maxSyncs bounds the syncs at once that foreign digests caused.
	maxSyncs = 2
	// syncMemory and idleSyncMemory are how long a sync is not repeated while both
	// digests stay the same: after telling the peer what it lacks, and after
	// finding nothing to exchange, such as when one side refuses a document.
	syncMemory     = 2 * time.Second
	idleSyncMemory = 30 * time.Second
	// maxPushback is the number of policies that a node reports after one sync to
	// a peer that lacks them.
	maxPushback = 16

	// watchWait is the waiting time of a watch on the platform, and
	// platformTimeout the time for an answer beyond it.
	watchWait       = 10 * time.Second
	platformTimeout = 5 * time.Second
	// backoffLow and backoffHigh bound the wait after a platform error.
	backoffLow  = 500 * time.Millisecond
	backoffHigh = 30 * time.Second
	// firstRequest is the longest wait before the first request of a watcher. A
	// starting node sees itself alone at first; the wait keeps the nodes of a
	// fleet that starts as a whole from all reading the platform.
	firstRequest = time.Second
)

// Disabled switches mechanisms off. It is for tests that show that an invariant
// depends on its mechanism.
type Disabled struct {
	EpochCheck  bool
	StartCheck  bool
	AntiEntropy bool
}

// Options configures a Core.
type Options struct {
	Self          registry.NodeID
	FailureDomain string
	// Start is the start time of the node.
	Start time.Time
	// Rand is the source of all random choices.
	Rand *rand.Rand
	// Disabled is for tests only.
	Disabled Disabled
}

// Core decides about the policies of one node. Step must not be called
// concurrently; Table, ServeSync and ServePull may be used at any time.
type Core struct {
	o     Options
	rand  *rand.Rand
	table *policy.Table
	now   time.Time
	out   Output

	members []Member
	domain  map[registry.NodeID]string

	calls    map[uint64]*call
	lastCall uint64
	wants    map[string]*want
	repeats  []repeat
	// refused are the documents that did not validate, by service.
	refused map[string]Have
	// mismatches are the peers with another digest that wait for a sync.
	mismatches map[registry.NodeID]mismatch
	compared   map[registry.NodeID]comparison
	// failures are the times of the last unanswered calls.
	failures map[registry.NodeID]time.Time
	// quietAt is when the node has heard no digest for too long.
	quietAt time.Time
	// reported holds the refusals that were reported, so that a source that
	// repeats an offer does not repeat the event.
	reported map[string]bool

	source    platformSource
	start     starter
	confirmed atomic.Bool
	ready     bool
}

type call struct {
	Call
	deadline time.Time
	// starting marks a sync for the readiness of this node.
	starting bool
	// theirs and mine are the digests that caused a sync.
	theirs, mine uint64
	// retries is the number of other peers to ask if the call fails.
	retries int
}

// want is an epoch that a peer is known to have.
type want struct {
	Have
	sources []source
	// call is the newest pull for the epoch, 0 if none is waiting.
	call  uint64
	asked time.Time
	// retries is the number of syncs with other peers that may look for a source.
	retries int
}

// source is a peer that reported a wanted epoch.
type source struct {
	id    registry.NodeID
	tries int
}

// next returns the source with the fewest tries, or nil if none is left. A peer
// that did not answer lately comes last.
func (c *Core) next(w *want) *source {
	var best *source
	rank := func(s *source) int {
		if c.failedLately(s.id) {
			return s.tries + maxTries
		}
		return s.tries
	}
	for i := range w.sources {
		if s := &w.sources[i]; s.tries < maxTries && (best == nil || rank(s) < rank(best)) {
			best = s
		}
	}
	return best
}

// repeat is a push that is due a second time.
type repeat struct {
	Have
	due  time.Time
	told []registry.NodeID
}

type mismatch struct {
	digest uint64
	due    time.Time
}

type comparison struct {
	theirs, mine uint64
	until        time.Time
}

// New returns the core of a starting node.
func New(o Options) *Core {
	c := &Core{
		o: o, rand: o.Rand, now: o.Start,
		domain:     map[registry.NodeID]string{},
		calls:      map[uint64]*call{},
		wants:      map[string]*want{},
		refused:    map[string]Have{},
		mismatches: map[registry.NodeID]mismatch{},
		compared:   map[registry.NodeID]comparison{},
		failures:   map[registry.NodeID]time.Time{},
		reported:   map[string]bool{},
	}
	c.table = policy.NewTable(policy.TableOptions{
		Now:               func() time.Time { return c.now },
		AcceptLowerEpochs: o.Disabled.EpochCheck,
	})
	c.source.retryAt = o.Start.Add(firstRequest/2 + c.jitter(firstRequest/2))
	c.start.init(c)
	return c
}

// Table returns the policies in force. Only Step changes it.
func (c *Core) Table() *policy.Table { return c.table }

// Step takes in what happened and returns what to do.
func (c *Core) Step(in Input) Output {
	c.now, c.out = in.Now, Output{}
	if in.Members != nil {
		c.setMembers(in.Members)
	}
	if in.Platform != nil {
		c.platformReply(in.Platform)
	}
	for i := range in.Replies {
		c.reply(&in.Replies[i])
	}
	for _, h := range in.Heard {
		c.want(h.Have, h.From, syncRetries)
	}
	for _, d := range in.Digests {
		c.heardDigest(d)
	}
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		if !c.now.Before(c.calls[id].deadline) {
			c.reply(&Reply{ID: id, Err: errTimeout})
		}
	}
	c.requestPlatform()
	c.startStep()
	c.syncMismatches()
	c.syncWhenQuiet()
	c.pullWanted()
	c.repeatPushes()
	c.out.Status = Status{
		Ready: c.ready, Confirmed: c.confirmed.Load(), Watcher: c.source.watcher, PlatformSeen: c.source.seen,
	}
	c.out.Wake = c.wake()
	return c.out
}

var errTimeout = errors.New("no answer in time")

func (c *Core) jitter(limit time.Duration) time.Duration {
	return time.Duration(c.rand.Int64N(int64(limit) + 1))
}

func (c *Core) wake() time.Time {
	wake := c.now.Add(time.Second)
	earlier := func(t time.Time) {
		if !t.IsZero() && t.Before(wake) {
			wake = t
		}
	}
	for _, cl := range c.calls {
		earlier(cl.deadline)
	}
	for _, m := range c.mismatches {
		earlier(m.due)
	}
	for _, w := range c.wants {
		// A hedge that is due and was not sent waits for a call to end.
		if due := w.asked.Add(pullHedge); w.call != 0 && due.After(c.now) {
			earlier(due)
		}
	}
	if len(c.repeats) > 0 {
		earlier(c.repeats[0].due)
	}
	earlier(c.platformWake())
	earlier(c.quietAt)
	if !c.confirmed.Load() {
		earlier(c.now.Add(startInterval))
	}
	if minimum := c.now.Add(time.Millisecond); wake.Before(minimum) {
		return minimum
	}
	return wake
}

func (c *Core) setMembers(members []Member) {
	c.members = slices.Clone(members)
	// A fixed order keeps the random choices reproducible.
	slices.SortFunc(c.members, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	clear(c.domain)
	for _, m := range c.members {
		c.domain[m.ID] = m.FailureDomain
	}
	gone := func(id registry.NodeID) bool { _, ok := c.domain[id]; return !ok }
	maps.DeleteFunc(c.mismatches, func(id registry.NodeID, _ mismatch) bool { return gone(id) })
	maps.DeleteFunc(c.failures, func(id registry.NodeID, _ time.Time) bool { return gone(id) })
	maps.DeleteFunc(c.compared, func(id registry.NodeID, _ comparison) bool { return gone(id) })
	c.source.watcher = slices.Contains(Watchers(c.members, c.o.FailureDomain), c.o.Self)
}

func (c *Core) event(kind event.Kind, service, reason string, evidence ...event.Field) {
	c.out.Events = append(c.out.Events, event.Event{
		Time: c.now, Kind: kind, Node: string(c.o.Self), Service: service, Reason: reason, Evidence: evidence,
	})
}

// refusal reports a refused offer once for each epoch, text and source.
func (c *Core) refusal(service string, epoch, hash uint64, reason, source string) {
	key := fmt.Sprintf("%s/%d/%x/%s", service, epoch, hash, source)
	if c.reported[key] {
		return
	}
	if len(c.reported) >= 1024 {
		clear(c.reported)
	}
	c.reported[key] = true
	c.event(event.PolicyRefused, service, reason,
		event.Field{Key: "epoch", Value: fmt.Sprint(epoch)},
		event.Field{Key: "hash", Value: policy.FormatHash(hash)},
		event.Field{Key: "source", Value: source})
}

// offer puts a policy in force if it is newer, and tells peers of it.
func (c *Core) offer(v policy.Versioned, source string) {
	hash := policy.Hash(v.Text)
	result, err := c.table.Set(v)
	if err != nil {
		var invalid *policy.DocumentError
		if errors.As(err, &invalid) {
			c.refused[v.Service] = Have{v.Service, v.Epoch, hash}
		}
		c.refusal(v.Service, v.Epoch, hash, err.Error(), source)
	}
	for _, p := range result.Policies {
		c.out.InForce = append(c.out.InForce, p)
		c.event(event.PolicyInForce, p.Service, "newer epoch",
			event.Field{Key: "epoch", Value: fmt.Sprint(p.Epoch)},
			event.Field{Key: "hash", Value: policy.FormatHash(p.Hash)},
			event.Field{Key: "source", Value: source})
		if !c.ready {
			// A starting node takes in what its peers have had for long.
			continue
		}
		h := Have{p.Service, p.Epoch, p.Hash}
		c.repeats = append(c.repeats, repeat{Have: h, due: c.now.Add(pushRepeat), told: c.push(h, nil)})
	}
	if w := c.wants[v.Service]; w != nil && !c.missing(w.Have) {
		delete(c.wants, v.Service)
	}
}

// push tells peers of the failure domain, apart from those that were told
// before, and returns them. A node pushes only what it has in force, because the
// peer pulls the text from it.
func (c *Core) push(h Have, told []registry.NodeID) []registry.NodeID {
	var peers []registry.NodeID
	for _, m := range c.members {
		if m.FailureDomain == c.o.FailureDomain && m.ID != c.o.Self && !slices.Contains(told, m.ID) {
			peers = append(peers, m.ID)
		}
	}
	c.rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(len(peers), pushFanout)]
	for _, id := range peers {
		c.out.Datagrams = append(c.out.Datagrams, Datagram{To: id, Have: h})
	}
	return peers
}

// repeatPushes pushes the epochs that are still in force a second time.
func (c *Core) repeatPushes() {
	for len(c.repeats) > 0 && !c.now.Before(c.repeats[0].due) {
		r := c.repeats[0]
		c.repeats = c.repeats[1:]
		if p := c.table.Get(r.Service); p.Epoch == r.Epoch {
			c.push(r.Have, r.told)
		}
	}
}

// missing reports whether the node lacks an epoch and would take it.
func (c *Core) missing(h Have) bool {
	return h.Epoch > c.table.Known(h.Service) && c.refused[h.Service] != h
}

// want notes that a peer has an epoch that this node lacks.
func (c *Core) want(h Have, from registry.NodeID, retries int) {
	if !c.missing(h) {
		return
	}
	w := c.wants[h.Service]
	if w == nil || h.Epoch > w.Epoch {
		c.wants[h.Service] = &want{Have: h, sources: []source{{id: from}}, retries: retries}
		return
	}
	if h.Epoch < w.Epoch || slices.ContainsFunc(w.sources, func(s source) bool { return s.id == from }) {
		return
	}
	if len(w.sources) >= maxSources {
		// The source that was asked most often makes room.
		worst := slices.MaxFunc(w.sources, func(a, b source) int { return cmp.Compare(a.tries, b.tries) })
		if worst.tries == 0 {
			return
		}
		w.sources = slices.DeleteFunc(w.sources, func(s source) bool { return s.id == worst.id })
	}
	w.sources = append(w.sources, source{id: from})
}

func (c *Core) call(to registry.NodeID, cl *call) {
	c.lastCall++
	cl.ID, cl.To, cl.deadline = c.lastCall, to, c.now.Add(syncTimeout)
	if cl.Pull != nil {
		cl.deadline = c.now.Add(pullTimeout)
	}
	c.calls[cl.ID] = cl
	c.out.Calls = append(c.out.Calls, cl.Call)
}

// pullWanted asks for the wanted epochs, one call for each source.
func (c *Core) pullWanted() {
	active := 0
	for _, cl := range c.calls {
		if cl.Pull != nil {
			active++
		}
	}
	pulls := map[registry.NodeID]*call{}
	for _, service := range slices.Sorted(maps.Keys(c.wants)) {
		w := c.wants[service]
		if w.call != 0 && c.now.Sub(w.asked) < pullHedge {
			continue
		}
		next := c.next(w)
		if w.call != 0 && (next == nil || next.tries > 0) {
			if w.retries > 0 {
				w.retries--
				w.asked = c.now
				c.retrySync(w.sources[0].id, 1)
			}
			continue
		}
		p := pulls[next.id]
		if p == nil {
			if active >= maxPulls {
				continue
			}
			active++
			p = &call{Call: Call{Pull: &Pull{}}}
			pulls[next.id] = p
		}
		if len(p.Pull.Services) < maxPullServices {
			p.Pull.Services = append(p.Pull.Services, service)
		}
	}
	for _, to := range slices.Sorted(maps.Keys(pulls)) {
		p := pulls[to]
		c.call(to, p)
		for _, service := range p.Pull.Services {
			w := c.wants[service]
			w.call, w.asked = p.ID, c.now
			c.next(w).tries++
		}
	}
}

// reply handles the answer to a call, or its absence.
func (c *Core) reply(r *Reply) {
	cl := c.calls[r.ID]
	if cl == nil {
		if r.Pull != nil {
			for _, v := range r.Pull.Policies {
				c.offer(v, "late answer of a peer")
			}
		}
		return
	}
	delete(c.calls, r.ID)
	if r.Err != nil {
		c.failures[cl.To] = c.now
	} else {
		delete(c.failures, cl.To)
	}
	switch {
	case cl.Pull != nil:
		more := false
		if r.Err == nil && r.Pull != nil {
			more = r.Pull.More && len(r.Pull.Policies) > 0
			for _, v := range r.Pull.Policies {
				c.offer(v, "peer "+string(cl.To))
			}
		}
		retries := 0
		for _, service := range cl.Pull.Services {
			w := c.wants[service]
			if w == nil || w.call != cl.ID {
				continue
			}
			w.call = 0
			for i := range w.sources {
				if more && w.sources[i].id == cl.To {
					w.sources[i].tries = 0
				}
			}
			if r.Err == nil && !more {
				// The peer no longer has what it reported.
				w.sources = slices.DeleteFunc(w.sources, func(s source) bool { return s.id == cl.To })
			}
			if c.next(w) == nil {
				retries = max(retries, w.retries)
				delete(c.wants, service)
			}
		}
		c.retrySync(cl.To, retries)
	case r.Err != nil || r.Sync == nil:
		if cl.starting {
			c.startReply(cl.To, nil)
			return
		}
		c.retrySync(cl.To, cl.retries)
	default:
		c.synced(cl, r.Sync)
	}
}

// heardDigest schedules a sync with a peer whose table differs.
func (c *Core) heardDigest(d HeardDigest) {
	if c.o.Disabled.AntiEntropy || c.domain[d.From] == "" {
		return
	}
	c.heardSomething()
	if d.Digest == c.table.Digest() {
		delete(c.mismatches, d.From)
		return
	}
	m, waiting := c.mismatches[d.From]
	if !waiting {
		m.due = c.now.Add(c.jitter(syncDelay))
	}
	m.digest = d.Digest
	c.mismatches[d.From] = m
}

func (c *Core) syncMismatches() {
	active := 0
	for _, cl := range c.calls {
		if cl.Sync != nil && !cl.starting {
			active++
		}
	}
	mine := c.table.Digest()
	for _, id := range slices.Sorted(maps.Keys(c.mismatches)) {
		m := c.mismatches[id]
		if c.now.Before(m.due) {
			continue
		}
		last := c.compared[id]
		if m.digest == mine || (last.theirs == m.digest && last.mine == mine && c.now.Before(last.until)) {
			delete(c.mismatches, id)
			continue
		}
		if active >= maxSyncs {
			m.due = c.now.Add(syncDelay)
			c.mismatches[id] = m
			continue
		}
		active++
		delete(c.mismatches, id)
		c.call(id, &call{Call: Call{Sync: &Sync{Digests: digests(c.table)}}, theirs: m.digest, mine: mine, retries: syncRetries})
	}
}

// retrySync asks another peer after a call failed. The failed peer showed that
// there is something to learn, but any other peer may know it too.
func (c *Core) retrySync(failed registry.NodeID, retries int) {
	if retries == 0 || c.o.Disabled.AntiEntropy {
		return
	}
	var peers, failing []registry.NodeID
	for _, m := range c.members {
		switch {
		case m.ID == c.o.Self || m.ID == failed:
		case c.failedLately(m.ID):
			failing = append(failing, m.ID)
		default:
			peers = append(peers, m.ID)
		}
	}
	if len(peers) == 0 {
		peers = failing
	}
	if len(peers) > 0 {
		to := peers[c.rand.IntN(len(peers))]
		c.call(to, &call{Call: Call{Sync: &Sync{Digests: digests(c.table)}}, mine: c.table.Digest(), retries: retries - 1})
	}
}

func (c *Core) failedLately(id registry.NodeID) bool {
	at, ok := c.failures[id]
	return ok && c.now.Sub(at) < failureMemory
}

// syncWhenQuiet syncs with a random peer if no digest arrives.
func (c *Core) syncWhenQuiet() {
	if !c.confirmed.Load() || c.now.Before(c.quietAt) {
		return
	}
	if !c.quietAt.IsZero() {
		c.retrySync("", syncRetries)
	}
	c.heardSomething()
}

func (c *Core) heardSomething() {
	c.quietAt = c.now.Add(quietLow + c.jitter(quietHigh-quietLow))
}

// synced takes in the difference to a peer: it wants what the peer has newer
// and reports to the peer what it has newer itself.
func (c *Core) synced(cl *call, r *SyncReply) {
	theirs := map[string]Have{}
	wanted := 0
	for _, h := range r.Have {
		theirs[h.Service] = h
		if c.missing(h) {
			wanted++
			c.want(h, cl.To, cl.retries)
		} else if p := c.table.Get(h.Service); p != nil && p.Epoch == h.Epoch && p.Hash != h.Hash {
			c.refusal(h.Service, h.Epoch, h.Hash, "another text has the same epoch", "peer "+string(cl.To))
		}
	}
	told := 0
	for _, p := range c.table.All() {
		if told < maxPushback && r.Differs[bucket(p.Service)] && p.Epoch > theirs[p.Service].Epoch {
			told++
			c.out.Datagrams = append(c.out.Datagrams, Datagram{To: cl.To, Have: Have{p.Service, p.Epoch, p.Hash}})
		}
	}
	// While the node starts, every peer that it syncs with is evidence.
	c.startReply(cl.To, r)
	if cl.starting {
		return
	}
	if wanted == 0 && cl.theirs != 0 {
		memory := idleSyncMemory
		if told > 0 {
			memory = syncMemory
		}
		c.compared[cl.To] = comparison{theirs: cl.theirs, mine: cl.mine, until: c.now.Add(memory)}
	}
}

// platformSource is the state of the watch on the platform.
type platformSource struct {
	watcher bool
	// request is the waiting request; nil if there is none.
	request  *PlatformRequest
	deadline time.Time
	lastID   uint64
	// listed says that a listing succeeded, so that a watch can go on from
	// revision.
	listed   bool
	revision uint64
	failures int
	retryAt  time.Time
	seen     time.Time
}

func (c *Core) platformWake() time.Time {
	s := &c.source
	switch {
	case s.request != nil:
		return s.deadline
	case s.watcher:
		return s.retryAt
	}
	return time.Time{}
}

// requestPlatform keeps a watch waiting on a watcher. Another node lists the
// policies only if it starts and the peers do not suffice.
func (c *Core) requestPlatform() {
	s := &c.source
	if s.request != nil {
		switch {
		case !c.now.Before(s.deadline):
			c.platformReply(&PlatformReply{ID: s.request.ID, Err: platform.ErrUnavailable})
			c.out.CancelPlatform = true
		case !s.watcher && s.request.Watch:
			s.request, s.listed = nil, false
			c.out.CancelPlatform = true
		}
	}
	if s.request != nil || c.now.Before(s.retryAt) {
		return
	}
	if !s.watcher {
		s.listed = false
		if c.confirmed.Load() || c.now.Before(c.start.listAt) {
			return
		}
		// After a listing that did not suffice, the next one waits.
		c.start.listAt = c.now.Add(backoffHigh/2 + c.jitter(backoffHigh/2))
	}
	s.lastID++
	s.request = &PlatformRequest{ID: s.lastID}
	s.deadline = c.now.Add(platformTimeout)
	if s.listed {
		s.request.Watch, s.request.Since, s.request.Wait = true, s.revision, watchWait
		s.deadline = s.deadline.Add(watchWait)
	}
	c.out.Platform = s.request
}

func (c *Core) platformReply(r *PlatformReply) {
	s := &c.source
	if s.request == nil || r.ID != s.request.ID {
		return
	}
	watch := s.request.Watch
	s.request = nil
	if errors.Is(r.Err, platform.ErrCompacted) {
		// A platform that refuses its own revisions must not be asked in a loop.
		s.listed, s.retryAt = false, c.now.Add(c.jitter(backoffLow))
		return
	}
	if r.Err != nil {
		// The wait is spread over the whole range, so that one of the watchers
		// returns soon after the end of an outage.
		high := min(backoffHigh, 2*backoffLow<<min(s.failures, 10))
		s.retryAt = c.now.Add(backoffLow + c.jitter(high-backoffLow))
		if s.failures == 0 {
			c.event(event.PlatformDown, "", r.Err.Error())
		}
		s.failures++
		return
	}
	if s.failures > 0 {
		c.event(event.PlatformUp, "", fmt.Sprintf("answer after %d failures", s.failures))
	}
	s.failures, s.seen = 0, c.now
	for _, obj := range r.Objects {
		service, ok := strings.CutPrefix(obj.Key, policy.KeyPrefix)
		if !ok {
			continue
		}
		if obj.Deleted {
			c.refusal(service, 0, obj.Version, "the platform deleted the policy; the last epoch stays in force", "platform")
			continue
		}
		env, err := policy.DecodeEnvelope(obj)
		if err != nil {
			c.refusal(service, 0, obj.Version, err.Error(), "platform")
			continue
		}
		c.offer(policy.Versioned{Service: service, Epoch: env.Epoch, Text: []byte(env.Text)}, "platform")
	}
	if watch {
		s.revision = max(s.revision, r.Revision)
		return
	}
	// A listing may go back to a lower revision, after a restored backup.
	s.listed, s.revision = true, r.Revision
	c.start.listed = true
}
