package distribution

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/event"
	"wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/internal/state/policy"
)

// fleetObject returns a fleet document as stored on the platform.
func fleetObject(epoch uint64) platform.Object {
	text, err := policy.EncodeFleet(&policy.Fleet{
		Services: []policy.FleetService{{Name: "s"}},
		Routes: []policy.FleetRoute{{
			Name: "r", Host: fmt.Sprintf("h%d.example", epoch), Prefix: "/", MaxAttempts: 1, Targets: []policy.Target{{Service: "s", Weight: 1}},
		}},
	})
	if err != nil {
		panic(err)
	}
	return platform.Object{Key: policy.Key(policy.FleetName), Value: fmt.Appendf(nil, `{"epoch":%d,"text":%q}`, epoch, text)}
}

// reader steps the core of a watcher and answers its requests.
type reader struct {
	t    *testing.T
	core *Core
	now  time.Time
}

func newReader(t *testing.T) *reader {
	start := time.Unix(0, 0)
	c := New(Options{Self: "n0", FailureDomain: "a", Start: start, Rand: rand.New(rand.NewPCG(1, 1)), Linearizable: true, WatchWait: time.Second})
	c.Step(Input{Now: start, Members: []Member{{"n0", "a"}}})
	return &reader{t: t, core: c, now: start}
}

// request steps the core until it sends a request.
func (r *reader) request(in Input) *PlatformRequest {
	r.t.Helper()
	for range 1000 {
		in.Now = r.now
		if out := r.core.Step(in); out.PlatformRequest != nil {
			return out.PlatformRequest
		}
		in = Input{}
		r.now = r.now.Add(5 * time.Millisecond)
	}
	r.t.Fatal("no request")
	return nil
}

// reply passes a reply to the core and returns the output and the next request.
func (r *reader) reply(to *PlatformRequest, reply PlatformReply) (Output, *PlatformRequest) {
	r.t.Helper()
	reply.ID = to.ID
	out := r.core.Step(Input{Now: r.now, PlatformReply: &reply})
	if out.PlatformRequest != nil {
		return out, out.PlatformRequest
	}
	return out, r.request(Input{})
}

func objects(list ...platform.Object) []platform.Object { return list }

// Guards against a reply of the platform that counts as a proof of current policies although the
// node has not put what it shows in force, or has not read all changes.
func TestReplyProvesCurrentPolicies(t *testing.T) {
	r := newReader(t)
	expect := func(what string, out Output, request *PlatformRequest, current bool) {
		t.Helper()
		want := uint64(0)
		if current {
			want = request.ID
		}
		if out.CurrentAsOf != want {
			t.Errorf("%s: current as of request %d, want %d", what, out.CurrentAsOf, want)
		}
	}
	list := r.request(Input{})
	out, watch := r.reply(list, PlatformReply{Objects: objects(fleetObject(5)), Revision: 10})
	expect("listing", out, list, true)
	if !watch.Watch {
		t.Fatal("no watch after a listing")
	}
	out, next := r.reply(watch, PlatformReply{Revision: 10})
	expect("no change", out, watch, true)

	// Another node has told of a newer document that the pending watch does not know yet.
	newer := fleetObject(6)
	env, _ := policy.DecodeEnvelope(newer)
	text := []byte(env.Text)
	r.core.Step(Input{Now: r.now, Notifications: []ReceivedNotification{{From: "p", Text: text, Version: Version{policy.FleetName, 6, policy.Hash(text)}}}})
	if p := r.core.Table().Get(policy.FleetName); p.Epoch != 6 {
		t.Fatalf("epoch %d", p.Epoch)
	}
	watch = next
	out, next = r.reply(watch, PlatformReply{Revision: 10})
	expect("older than the policies in force", out, watch, false)
	watch = next
	out, next = r.reply(watch, PlatformReply{Objects: objects(newer), Revision: 11})
	expect("change that is in force", out, watch, true)
	watch = next
	out, next = r.reply(watch, PlatformReply{Objects: objects(platform.Object{Key: policy.Key(policy.FleetName), Value: []byte(`{"epoch":7,"text":"?"}`)}), Revision: 12})
	expect("refused document", out, watch, false)
	watch = next
	out, next = r.reply(watch, PlatformReply{Revision: 12})
	expect("no change after a refused document", out, watch, false)
	watch = next
	out, next = r.reply(watch, PlatformReply{Objects: objects(fleetObject(8)), Revision: 13})
	expect("valid document", out, watch, true)
	watch = next
	out, _ = r.reply(watch, PlatformReply{Err: platform.ErrUnavailable})
	expect("failure", out, watch, false)

	t.Run("stale listings", func(t *testing.T) {
		r := newReader(t)
		r.core.opts.Linearizable = false
		list := r.request(Input{})
		if out, _ := r.reply(list, PlatformReply{Objects: objects(fleetObject(5)), Revision: 10}); out.CurrentAsOf != 0 {
			t.Error("a listing that may be stale proves current policies")
		}
	})
	t.Run("watch in place of another node", func(t *testing.T) {
		r := newReader(t)
		list := r.request(Input{})
		r.reply(list, PlatformReply{Objects: objects(fleetObject(5)), Revision: 10})
		// The node did not read what happened up to revision 20.
		r.core.Step(Input{Now: r.now, Members: []Member{{"n0", "a"}, {"n1", "a"}, {"n2", "a"}, {"n3", "a"}, {"n4", "a"}}})
		r.core.watch.watcher = false
		watch := r.request(Input{TakeOvers: []TakeOver{{Revision: 20}}})
		if !watch.Watch || watch.Since != 20 {
			t.Fatalf("request %+v", watch)
		}
		if out := r.core.Step(Input{Now: r.now, PlatformReply: &PlatformReply{ID: watch.ID, Revision: 20}}); out.CurrentAsOf != 0 {
			t.Error("a watch from a revision that the node has not read proves current policies")
		}
		r.core.watch.request = nil
		if list := r.request(Input{ReadPlatform: true}); list.Watch {
			t.Error("no listing after a request to read the platform")
		}
	})
	t.Run("late reply", func(t *testing.T) {
		r := newReader(t)
		list := r.request(Input{})
		_, watch := r.reply(list, PlatformReply{Objects: objects(fleetObject(5)), Revision: 10})
		r.now = r.now.Add(5 * time.Second)
		r.core.Step(Input{Now: r.now})
		if out := r.core.Step(Input{Now: r.now, PlatformReply: &PlatformReply{ID: watch.ID, Revision: 10}}); out.CurrentAsOf != watch.ID {
			t.Errorf("current as of request %d, want %d", out.CurrentAsOf, watch.ID)
		}
	})
}

// Guards against a platform that came back from an older copy of its data and whose older
// document comes into force, counts as the newest one, or is watched from a revision of before.
func TestRestoredPlatform(t *testing.T) {
	r := newReader(t)
	list := r.request(Input{})
	_, watch := r.reply(list, PlatformReply{Objects: objects(fleetObject(5)), Revision: 10})
	out, list := r.reply(watch, PlatformReply{Err: platform.ErrRestored})
	if list.Watch {
		t.Fatal("no listing after a restore")
	}
	if len(out.Events) != 1 || out.Events[0].Kind != event.PlatformRestored {
		t.Errorf("events %+v", out.Events)
	}
	out, watch = r.reply(list, PlatformReply{Objects: objects(fleetObject(4)), Revision: 8})
	if p := r.core.Table().Get(policy.FleetName); p.Epoch != 5 || out.CurrentAsOf != 0 || watch.Since != 8 {
		t.Errorf("epoch %d, current as of %d, watch from %d", p.Epoch, out.CurrentAsOf, watch.Since)
	}
	restored := r.now
	for r.now.Sub(restored) < 2*restoreDelay {
		r.now = r.now.Add(200 * time.Millisecond)
		if out, watch = r.reply(watch, PlatformReply{Revision: 8}); out.CurrentAsOf != 0 {
			t.Fatal("the older document counts as the newest")
		}
	}
	// The operator writes the lost document again.
	out, watch = r.reply(watch, PlatformReply{Objects: objects(fleetObject(5)), Revision: 9})
	if out.CurrentAsOf == 0 {
		t.Error("the document that was written again does not count")
	}
	if out, _ = r.reply(watch, PlatformReply{Revision: 9}); out.CurrentAsOf != watch.ID {
		t.Error("a watch after that does not count")
	}

	t.Run("at once", func(t *testing.T) {
		r := newReader(t)
		list := r.request(Input{})
		_, watch := r.reply(list, PlatformReply{Objects: objects(fleetObject(5)), Revision: 10})
		_, list = r.reply(watch, PlatformReply{Err: platform.ErrRestored})
		out, _ := r.reply(list, PlatformReply{Objects: objects(fleetObject(5)), Revision: 8})
		if out.CurrentAsOf != 0 {
			t.Error("a listing counts although a newer document may be lost")
		}
	})
	t.Run("late reply", func(t *testing.T) {
		r := newReader(t)
		list := r.request(Input{})
		_, late := r.reply(list, PlatformReply{Objects: objects(fleetObject(5)), Revision: 10})
		r.now = r.now.Add(5 * time.Second)
		watch := r.request(Input{})
		_, list = r.reply(watch, PlatformReply{Err: platform.ErrRestored})
		r.reply(list, PlatformReply{Objects: objects(fleetObject(5)), Revision: 4})
		r.core.Step(Input{Now: r.now, PlatformReply: &PlatformReply{ID: late.ID, Objects: objects(fleetObject(6)), Revision: 12}})
		if r.core.watch.revision != 4 {
			t.Errorf("watching from revision %d after the late reply to a watch of before", r.core.watch.revision)
		}
	})
	// The platform client reports a restore once, to whichever request notices it.
	t.Run("late reply reports it", func(t *testing.T) {
		r := newReader(t)
		list := r.request(Input{})
		_, late := r.reply(list, PlatformReply{Objects: objects(fleetObject(5)), Revision: 10})
		r.now = r.now.Add(5 * time.Second)
		watch := r.request(Input{})
		out, list := r.reply(late, PlatformReply{Err: platform.ErrRestored})
		if list.Watch || !out.CancelPlatformRequests {
			t.Fatal("the watch from a revision of before goes on")
		}
		if out, _ = r.reply(list, PlatformReply{Objects: objects(fleetObject(5)), Revision: 8}); out.CurrentAsOf != 0 {
			t.Error("a listing counts although a newer document may be lost")
		}
		out = r.core.Step(Input{Now: r.now, PlatformReply: &PlatformReply{ID: watch.ID, Revision: 12}})
		if out.CurrentAsOf != 0 || r.core.watch.revision != 8 {
			t.Errorf("a canceled watch counts; watching from revision %d", r.core.watch.revision)
		}
	})
	t.Run("canceled request reports it", func(t *testing.T) {
		r := newReader(t)
		list := r.request(Input{})
		_, watch := r.reply(list, PlatformReply{Objects: objects(fleetObject(5)), Revision: 10})
		r.core.watch.request, r.core.watch.listed = nil, false
		_, list = r.reply(watch, PlatformReply{Err: platform.ErrRestored})
		if out, _ := r.reply(list, PlatformReply{Objects: objects(fleetObject(5)), Revision: 8}); out.CurrentAsOf != 0 {
			t.Error("a listing counts although a newer document may be lost")
		}
	})
}
