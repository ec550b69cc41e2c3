package e2e

import (
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	"wigeonspring.example/wigeonspring/internal/protocol/header"
	"wigeonspring.example/wigeonspring/platform"
	"wigeonspring.example/wigeonspring/platform/objectstore"
	standin "wigeonspring.example/wigeonspring/standin/platform"
	"wigeonspring.example/wigeonspring/standin/site"
)

// objectsForm runs a fleet with the protocols of the users' platform: its object store, its
// announcements, and its headers at callers and backend servers.
type objectsForm struct {
	store   *objectstore.Store
	headers *header.Dialect
	version int
	client  *http.Client
	// servers are the backend servers that run, by VM. The test announces them.
	servers map[int]objectstore.Instance
	// sequence counts the announcements of all.
	sequence int
}

// heartbeatInterval is the time between two announcements of a backend server.
const heartbeatInterval = 1500 * time.Millisecond

func startObjectsForm(t *testing.T, storeAddr string) *objectsForm {
	p := &objectsForm{
		store: objectstore.New(standin.NewMemory()), headers: platform.Dialect(),
		client: &http.Client{Timeout: time.Second}, servers: map[int]objectstore.Instance{},
	}
	listener, err := net.Listen("tcp", storeAddr)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: p.store}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return p
}

// platformSettings returns the settings that select the form, for the table [platform].
func (p *objectsForm) platformSettings() string { return "form = \"objects\"\ntimeout = \"2s\"" }

func (p *objectsForm) serverFlags(t *testing.T) []string {
	names, err := json.Marshal(p.headers)
	if err != nil {
		t.Fatal(err)
	}
	return []string{"--headers", string(names)}
}

// putPolicies writes a new version of the configuration.
func (p *objectsForm) putPolicies(t *testing.T, timeout time.Duration) {
	p.version++
	var routes []objectstore.Route
	for _, service := range site.Services {
		for _, r := range site.Routes {
			routes = append(routes, objectstore.Route{
				Name: service.Name + "-" + r.Name, Host: service.Host(), Prefix: r.Prefix, Service: service.Name,
				Safe: r.Idempotent, Timeout: timeout, Attempts: site.MaxAttempts,
			})
		}
	}
	if err := p.store.PutConfig(p.version, routes, 32<<20); err != nil {
		t.Error(err)
	}
}

// announce sends the announcements of all backend servers to the nodes of their VMs.
func (f *outageFleet) announce() {
	for vm, s := range f.form.servers {
		f.form.sequence++
		sequence, node := f.form.sequence, f.addr(announceKind, vm)
		go func() { _ = s.Announce(f.form.client, node, sequence) }()
	}
}
