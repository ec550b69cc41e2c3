package main

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a sound stand-in for the platform's store: linearizable, always up, with a long
// history.
type store struct {
	addr   string
	server *http.Server

	mu       sync.Mutex
	revision uint64
	objects  map[string]*object // kind/name
	events   []storeEvent
	changed  chan struct{}
}

type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type storeEvent struct {
	kind     string
	revision uint64
	object   object
	deleted  bool
}

func newStore(addr string) (*store, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &store{addr: addr, revision: 100, objects: map[string]*object{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go s.server.Serve(l)
	return s, nil
}

func (s *store) close() { s.server.Close() }

func (s *store) has(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind+"/"+name] != nil
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rest, ok := strings.CutPrefix(r.URL.Path, wire("{objects}"))
	if !ok {
		reply(w, http.StatusNotFound, nil)
		return
	}
	kind, name, _ := strings.Cut(rest, "/")
	time.Sleep(4 * time.Millisecond) // An answer takes 4 ms.
	if r.Method == http.MethodGet && r.URL.Query().Has("watch") {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := kind + "/" + name
	var in object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			reply(w, http.StatusBadRequest, nil)
			return
		}
	}
	expected := in.Metadata.Revision
	if q := r.URL.Query().Get("revision"); q != "" {
		expected, _ = strconv.ParseUint(q, 10, 64)
	}
	o := s.objects[key]
	switch {
	case r.Method == http.MethodGet && name == "":
		reply(w, http.StatusOK, map[string]any{"items": s.list(kind), "hasMore": false, "at": s.revision})
	case r.Method == http.MethodPost:
		key = kind + "/" + in.Metadata.Name
		if old := s.objects[key]; old != nil {
			reply(w, http.StatusConflict, old)
			return
		}
		s.revision++
		in.Metadata.Revision, in.Metadata.Created = s.revision, s.revision
		in.Metadata.Finalizers = []string{}
		s.put(kind, key, &in)
		reply(w, http.StatusOK, in)
	case o == nil:
		reply(w, http.StatusNotFound, nil)
	case r.Method == http.MethodGet:
		reply(w, http.StatusOK, o)
	case expected != 0 && expected != o.Metadata.Revision:
		reply(w, http.StatusConflict, o)
	case r.Method == http.MethodPut:
		if string(o.Spec) == string(in.Spec) {
			reply(w, http.StatusOK, o)
			return
		}
		s.revision++
		next := *o
		next.Spec, next.Metadata.Revision = in.Spec, s.revision
		s.put(kind, key, &next)
		reply(w, http.StatusOK, next)
	case r.Method == http.MethodDelete:
		s.revision++
		delete(s.objects, key)
		s.announce(storeEvent{kind, s.revision, *o, true})
		reply(w, http.StatusOK, o)
	default:
		reply(w, http.StatusMethodNotAllowed, nil)
	}
}

func (s *store) list(kind string) []object {
	items := []object{}
	for key, o := range s.objects {
		if strings.HasPrefix(key, kind+"/") {
			items = append(items, *o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return cmp.Compare(a.Metadata.Name, b.Metadata.Name) })
	return items
}

func (s *store) put(kind, key string, o *object) {
	s.objects[key] = o
	s.announce(storeEvent{kind, o.Metadata.Revision, *o, false})
}

func (s *store) announce(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		events := []map[string]any{}
		s.mu.Lock()
		for _, e := range s.events {
			if e.kind == kind && e.revision > since {
				events = append(events, map[string]any{"object": e.object, "deleted": e.deleted})
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}
