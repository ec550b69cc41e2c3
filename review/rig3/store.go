package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]*object
	events  []storeEvent
	changed chan struct{}
	// hold, if set, may delay a call before it has an effect; it returns false if the call is
	// to end without an answer.
	hold func(r *http.Request, kind, name string)
}

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type storeEvent struct {
	kind    string
	rev     uint64
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

func newStore() *store {
	return &store{rev: 10, objects: map[string]map[string]*object{}, changed: make(chan struct{})}
}

func (s *store) put(kind string, o *object, deleted bool) {
	s.rev++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o.Metadata.Revision = s.rev
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.rev
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if len(o.Status) == 0 {
		o.Status = json.RawMessage("null")
	}
	if deleted {
		delete(s.objects[kind], o.Metadata.Name)
	} else {
		s.objects[kind][o.Metadata.Name] = o
	}
	s.events = append(s.events, storeEvent{kind, s.rev, *o, deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

// putConfig is what the operator writes.
func (s *store) putConfig(version int, resources []any) {
	spec, _ := json.Marshal(map[string]any{"version": "r" + strconv.Itoa(version), "resources": resources})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put("config", &object{Metadata: meta{Name: "main"}, Spec: spec}, false)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, wire["objects"])
	if !ok {
		w.WriteHeader(404)
		return
	}
	body, _ := io.ReadAll(r.Body)
	kind, name, named := strings.Cut(path, "/")
	name, status := strings.CutSuffix(name, "/status")
	if s.hold != nil {
		s.hold(r, kind, name)
	}
	if r.Method == "GET" && !named {
		s.list(w, r, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var in object
	if len(body) > 0 && json.Unmarshal(body, &in) != nil {
		w.WriteHeader(400)
		return
	}
	if r.Method == "POST" {
		name = in.Metadata.Name
	}
	cur := s.objects[kind][name]
	if r.Method != "POST" && cur == nil {
		reply(w, 404, map[string]string{"error": "no such object"})
		return
	}
	want := in.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		want, _ = strconv.ParseUint(q, 10, 64)
	}
	if r.Method != "GET" && cur != nil && (r.Method == "POST" || want != 0 && want != cur.Metadata.Revision) {
		reply(w, 409, cur)
		return
	}
	switch r.Method {
	case "GET":
		reply(w, 200, cur)
	case "DELETE":
		gone := *cur
		s.put(kind, &gone, true)
		reply(w, 200, gone)
	case "POST":
		o := &object{Metadata: meta{Name: name, Finalizers: in.Metadata.Finalizers}, Spec: in.Spec}
		s.put(kind, o, false)
		reply(w, 200, o)
	case "PUT":
		next := *cur
		if status {
			next.Status = in.Status
		} else {
			next.Spec = in.Spec
		}
		if string(next.Spec) != string(cur.Spec) || string(next.Status) != string(cur.Status) {
			s.put(kind, &next, false)
		}
		reply(w, 200, &next)
	default:
		w.WriteHeader(405)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	q := r.URL.Query()
	if !q.Has("watch") {
		s.mu.Lock()
		items := []*object{}
		for name, o := range s.objects[kind] {
			if name > q.Get("after") {
				items = append(items, o)
			}
		}
		sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
		at := s.rev
		s.mu.Unlock()
		reply(w, 200, map[string]any{"items": items, "hasMore": false, "at": at})
		return
	}
	since, _ := strconv.ParseUint(q.Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.events {
			if e.kind == kind && e.rev > since {
				events = append(events, e)
			}
		}
		at, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, 200, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}
