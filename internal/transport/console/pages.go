package console

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"strconv"

	"github.com/go-chi/chi/v5"

	"wigeonspring.example/wigeonspring/internal/protocol/controlpb"
	"wigeonspring.example/wigeonspring/internal/state/policy"
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// maxDecisionsShown is the maximum number of decisions on the service page.
const maxDecisionsShown = 30

// maxEpochsShown is the maximum number of policy epochs on the nodes page. A fleet
// of 2,100 nodes and 650 services has 1.4 million epochs, which exceeds the memory
// that a node has for control requests.
const maxEpochsShown = 5000

// serviceRow is this node's view of one service.
type serviceRow struct {
	Name string
	// Policy is nil if the service has backend servers but no policy in force.
	Policy *policy.InForce
	// Serving is the number of backend servers that accept requests, and All the
	// number of those announced.
	Serving, All int
	// Capacity is the sum of the weights of the serving backend servers.
	Capacity float64
	// Counts holds the number of backend servers by state.
	Counts map[string]int
}

// BelowFloor reports whether the healthy capacity is below the floor.
func (r *serviceRow) BelowFloor() bool {
	return r.Policy != nil && r.Capacity < float64(r.Policy.Document.Service.Floor)
}

func (r *serviceRow) add(b *controlpb.BackendInfo) {
	if r.Counts == nil {
		r.Counts = map[string]int{}
	}
	state := b.State
	if b.OwnerStatus != registry.Alive.String() {
		// Serving and Capacity do not count a backend server whose owner is not alive,
		// because the check of the floor does not count it.
		state = "owner " + b.OwnerStatus
	}
	r.Counts[state]++
	r.All++
	if state == registry.Active.String() || state == registry.Probation.String() {
		r.Serving++
		r.Capacity += b.Weight
	}
}

func (c *Console) services(w http.ResponseWriter, r *http.Request) {
	resp, err := c.opts.Control.Backends(r.Context(), &controlpb.BackendsRequest{})
	if err != nil {
		c.renderUnavailable(w, err)
		return
	}
	rows := map[string]*serviceRow{}
	for _, p := range c.opts.Policies.All() {
		rows[p.Service] = &serviceRow{Name: p.Service, Policy: p}
	}
	for _, b := range resp.Backends {
		if rows[b.Service] == nil {
			rows[b.Service] = &serviceRow{Name: b.Service}
		}
		rows[b.Service].add(b)
	}
	sorted := slices.SortedFunc(maps.Values(rows), func(a, b *serviceRow) int { return cmp.Compare(a.Name, b.Name) })
	c.renderPage(w, http.StatusOK, "services.html", "Services", sorted)
}

func (c *Console) service(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "service")
	backends, err := c.opts.Control.Backends(r.Context(), &controlpb.BackendsRequest{Service: name})
	if err != nil {
		c.renderUnavailable(w, err)
		return
	}
	row := &serviceRow{Name: name, Policy: c.opts.Policies.Get(name)}
	for _, b := range backends.Backends {
		row.add(b)
	}
	applied, _ := strconv.ParseUint(r.URL.Query().Get("applied"), 10, 64)
	if row.Policy == nil && row.All == 0 && applied == 0 {
		c.renderPage(w, http.StatusNotFound, "error.html", "Not found", "This node knows no service "+name+".")
		return
	}
	slices.SortFunc(backends.Backends, func(a, b *controlpb.BackendInfo) int { return cmp.Compare(a.Id, b.Id) })
	data := map[string]any{"Row": row, "Backends": backends.Backends, "Applied": applied}
	explain, err := c.opts.Control.Explain(r.Context(), &controlpb.ExplainRequest{Service: name, Limit: maxDecisionsShown})
	if err != nil {
		data["ExplainError"] = err.Error()
	} else {
		data["Explain"] = explain
	}
	c.renderPage(w, http.StatusOK, "service.html", name, data)
}

// nodeRow combines the membership information and the policy status of a node.
type nodeRow struct {
	Info   *controlpb.NodeInfo
	Status *controlpb.PolicyNodeStatus
}

func (c *Console) nodes(w http.ResponseWriter, r *http.Request) {
	nodes, err := c.opts.Control.Nodes(r.Context(), &controlpb.NodesRequest{})
	if err != nil {
		c.renderUnavailable(w, err)
		return
	}
	service, policies := r.URL.Query().Get("service"), c.opts.Policies.All()
	byNode := map[string]*controlpb.PolicyNodeStatus{}
	ask := service != "" || len(nodes.Nodes)*len(policies) <= maxEpochsShown
	if ask {
		status, err := c.opts.Control.PolicyStatus(r.Context(), &controlpb.PolicyStatusRequest{Service: service})
		if err != nil {
			c.renderUnavailable(w, err)
			return
		}
		for _, s := range status.Nodes {
			byNode[s.NodeId] = s
		}
	}
	rows := make([]nodeRow, len(nodes.Nodes))
	for i, n := range nodes.Nodes {
		rows[i] = nodeRow{Info: n, Status: byNode[n.Id]}
	}
	slices.SortFunc(rows, func(a, b nodeRow) int { return cmp.Compare(a.Info.Id, b.Info.Id) })
	c.renderPage(w, http.StatusOK, "nodes.html", "Nodes", map[string]any{
		"Rows": rows, "Service": service, "Policies": policies, "Asked": ask,
	})
}
