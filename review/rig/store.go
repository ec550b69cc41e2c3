package main

import (
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store.
type store struct {
	w    *world
	addr string

	mu       sync.Mutex
	revision uint64
	objects  map[string]*object // by kind/name
	history  []change
	changed  chan struct{}
	// era is the number of the copy that the store serves; 0 if it does not tell.
	era uint64
	// away tells how a call fails now: "" (it does not), "reset" or "busy".
	away func(r *http.Request) string
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type change struct {
	key      string
	revision uint64
	object   object
	deleted  bool
}

func newStore(w *world, ip string) (*store, error) {
	s := &store{w: w, addr: ip + ":" + strconv.Itoa(storePort), revision: 1, objects: map[string]*object{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// setAway sets how calls fail; nil means that they do not. Waiting watches are cut.
func (s *store) setAway(f func(r *http.Request) string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = f
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) fails(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	f := s.away
	s.mu.Unlock()
	if f == nil {
		return false
	}
	switch f(r) {
	case "reset":
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			c.Close()
		}
		return true
	case "busy":
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	return false
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if s.fails(w, r) {
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	if s.era > 0 {
		w.Header().Set(wire("era"), strconv.FormatUint(s.era, 10))
	}
	s.mu.Unlock()
	path, ok := strings.CutPrefix(r.URL.Path, wire("objects"))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, named := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && !named && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && !named:
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		defer s.mu.Unlock()
		if o := s.objects[kind+"/"+name]; o != nil {
			answer(w, http.StatusOK, o)
			return
		}
		answer(w, http.StatusNotFound, map[string]string{})
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		var in object
		if json.Unmarshal(body, &in) != nil {
			answer(w, http.StatusBadRequest, map[string]string{})
			return
		}
		if !named {
			name = in.Metadata.Name
		}
		s.write(w, kind+"/"+name, in, r.Method == http.MethodPost)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) write(w http.ResponseWriter, key string, in object, create bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[key]
	switch {
	case create && old != nil:
		answer(w, http.StatusConflict, old)
		return
	case !create && old == nil:
		answer(w, http.StatusNotFound, map[string]string{})
		return
	case !create && in.Metadata.Revision != 0 && in.Metadata.Revision != old.Metadata.Revision:
		answer(w, http.StatusConflict, old)
		return
	}
	answer(w, http.StatusOK, s.put(key, in.Spec))
}

// put stores an object. The lock is held.
func (s *store) put(key string, spec json.RawMessage) *object {
	_, name, _ := strings.Cut(key, "/")
	o := s.objects[key]
	if o != nil && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	n := &object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if o != nil {
		n.Metadata.Created = o.Metadata.Created
	}
	s.objects[key] = n
	s.history = append(s.history, change{key: key, revision: s.revision, object: *n})
	s.w.record("store: %s is written at revision %d", key, s.revision)
	s.wake()
	return n
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []*object{}
	for key, o := range s.objects {
		if strings.HasPrefix(key, kind+"/") && o.Metadata.Name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	millis, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(millis) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, c := range s.history {
			if c.revision > since && strings.HasPrefix(c.key, kind+"/") {
				events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
			}
		}
		at, changed, era := s.revision, s.changed, s.era
		s.mu.Unlock()
		if era > 0 {
			w.Header().Set(wire("era"), strconv.FormatUint(era, 10))
		}
		if since > at {
			answer(w, http.StatusGone, map[string]string{})
			return
		}
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
			if s.fails(w, r) {
				return
			}
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// backup is a copy of the store.
type backup struct {
	revision uint64
	objects  map[string]*object
	history  []change
}

// backup returns a copy of what the store holds now.
func (s *store) backup() backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return backup{s.revision, maps.Clone(s.objects), slices.Clone(s.history)}
}

// restore brings the store back from a copy.
func (s *store) restore(b backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.w.record("store: back from a copy, revision %d instead of %d", b.revision, s.revision)
	s.revision, s.objects, s.history = b.revision, b.objects, b.history
	s.era++
	s.away = nil
	s.wake()
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeout                     string // "": 4000ms
	public                      bool
}

// tenant is a tenant of the configuration.
type tenant struct {
	name  string
	keys  []string
	rate  float64
	burst float64
}

// host is the host name of all routes.
const host = "jepu9.example"

// configure writes the configuration as the operator does. It returns when the store has
// acknowledged it.
func (s *store) configure(version int, services []string, routes []route, tenants []tenant) time.Time {
	resources := []map[string]any{}
	add := func(kind, name string, spec map[string]any) {
		resources = append(resources, map[string]any{"type": kind, "metadata": map[string]any{"name": name}, "spec": spec})
	}
	for _, r := range routes {
		spec := map[string]any{"host": host, "pathPrefix": r.prefix, "kind": r.kind, "timeout": cmp.Or(r.timeout, "4000ms"), "slo": "2500ms",
			"priority": 1, "service": r.service, "attempts": 2}
		if r.public {
			spec["public"] = true
		}
		add("routes", r.name, spec)
	}
	for _, name := range services {
		add("services", name, map[string]any{"healthPath": "/healthz", "maxConns": 330, "protocol": "h1", "tls": false})
	}
	for _, t := range tenants {
		add("tenants", t.name, map[string]any{"apiKeys": t.keys, "ratePerS": t.rate, "burst": t.burst})
	}
	add("limits", "", map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"})
	spec, _ := json.Marshal(map[string]any{"version": "r" + strconv.Itoa(version), "resources": resources})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put("config/main", spec)
	return time.Now()
}
