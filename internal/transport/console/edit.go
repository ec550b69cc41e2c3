package console

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"wigeonspring.example/wigeonspring/internal/state/policy"
)

// tooManyRoutes says why a policy cannot be edited by the form.
var tooManyRoutes = fmt.Sprintf("A form holds at most %d routes. Use wigeonctl for this policy.", maxFormRoutes)

// editView is what the page of the form shows.
type editView struct {
	*form
	Scalars []scalar
	Methods []string
	// Problems are the reasons for refusal by field; those without a field are
	// under "".
	Problems map[string][]policy.Problem
	// Notice and Error are messages above the form.
	Notice, Error string
	// Document is the resulting document, shown after a check or a conflict.
	Document string
	// Checked says that Changes is filled in.
	Checked bool
	// Compared is the epoch that Changes refers to.
	Compared uint64
	Changes  []policy.Change
	// Conflict is the policy that won against the posted one.
	Conflict *policy.ConflictError
	// Clashes are the fields that both operators changed.
	Clashes []string
}

// ProblemsOf returns the problems of a field.
func (v *editView) ProblemsOf(key string) []policy.Problem { return v.Problems[key] }

// RouteKey returns the name of a route's field.
func (v *editView) RouteKey(i int, field string) string { return routeKey(i, field) }

// addProblems files each problem under the innermost field that holds its key.
func (v *editView) addProblems(problems policy.Problems) {
	fields := map[string]bool{"operator": true, "service.name": true, "service.hosts": true, "service.route": true}
	for _, sc := range scalars {
		fields[sc.Key] = true
	}
	for i := range v.Routes {
		for _, name := range []string{"name", "path", "methods", "selector", "idempotent", "timeout"} {
			fields[routeKey(i, name)] = true
		}
	}
	if v.Problems == nil {
		v.Problems = map[string][]policy.Problem{}
	}
	for _, p := range problems {
		key := p.Key
		for key != "" && !fields[key] {
			key = key[:max(strings.LastIndexAny(key, ".["), 0)]
		}
		v.Problems[key] = append(v.Problems[key], p)
	}
	v.Error = "The policy is refused: " + strconv.Itoa(len(problems)) + " problem(s), shown beside the fields."
}

func (c *Console) showForm(w http.ResponseWriter, status int, v *editView) {
	v.Scalars, v.Methods = scalars, policy.Methods
	title := "New service"
	if v.Base > 0 {
		title = "Policy of " + v.Name
	}
	c.page(w, status, "edit.html", title, v)
}

// accepted returns the stored policy of a service. If the platform does not
// answer, it returns the policy in force on this node and a notice.
func (c *Console) accepted(ctx context.Context, service string) (policy.Envelope, string) {
	env, _, err := policy.Read(ctx, c.o.Platform, service)
	if err == nil {
		return env, ""
	}
	notice := "The platform cannot be read (" + err.Error() + "). "
	if p := c.o.Policies.Get(service); p != nil {
		return policy.Envelope{Epoch: p.Epoch, Text: string(p.Text)}, notice + "The policy shown is the one in force on this node."
	}
	return policy.Envelope{}, notice + "This node has no policy of the service in force."
}

// openForm shows the form for an existing service, or an empty one.
func (c *Console) openForm(w http.ResponseWriter, r *http.Request) {
	service := r.URL.Query().Get("service")
	v := &editView{form: &form{Values: map[string]string{}, Routes: make([]routeForm, 1)}}
	if service != "" {
		env, notice := c.accepted(r.Context(), service)
		v.Notice = notice
		doc, problems := policy.Parse([]byte(env.Text))
		switch {
		case env.Epoch == 0:
		case len(problems) > 0:
			v.Document, v.Error = env.Text, "The stored policy is refused by the present rules: "+problems.Error()
		case len(doc.Service.Routes) > maxFormRoutes:
			c.page(w, http.StatusUnprocessableEntity, "error.html", "Policy of "+service, tooManyRoutes)
			return
		default:
			v.form = formOf(doc)
			if strings.Contains(env.Text, "#") {
				v.Notice += " Comments in the stored document are lost when the form is applied."
			}
		}
		v.Name, v.Base, v.Original = service, env.Epoch, env.Text
	}
	c.showForm(w, http.StatusOK, v)
}

// postForm carries out the button that was pressed. The input is kept in every
// case but an accepted policy.
func (c *Console) postForm(w http.ResponseWriter, r *http.Request) {
	if !parseForm(w, r) {
		return
	}
	f, err := readForm(r.PostForm)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v := &editView{form: f}
	if i, err := strconv.Atoi(r.PostForm.Get("remove")); err == nil && i >= 0 && i < len(f.Routes) {
		f.Routes = append(f.Routes[:i], f.Routes[i+1:]...)
		c.showForm(w, http.StatusOK, v)
		return
	}
	switch r.PostForm.Get("action") {
	case "add":
		if len(f.Routes) < maxFormRoutes {
			f.Routes = append(f.Routes, routeForm{})
		}
		c.showForm(w, http.StatusOK, v)
	case "apply":
		c.apply(w, r, v)
	case "rebase":
		c.rebase(w, r, v)
	default:
		c.showForm(w, c.check(r.Context(), v), v)
	}
}

// check fills in the problems or the document and the difference, and returns
// the status of the page.
func (c *Console) check(ctx context.Context, v *editView) int {
	document, problems, err := v.document()
	if err != nil {
		v.Error = err.Error()
		return http.StatusBadRequest
	}
	v.Document = string(document)
	doc, found := policy.Parse(document)
	if problems = append(found, problems...); len(problems) > 0 {
		v.addProblems(problems)
		return http.StatusUnprocessableEntity
	}
	env, notice := c.accepted(ctx, doc.Service.Name)
	v.Notice += notice
	v.compare(env, doc)
	return http.StatusOK
}

// compare fills in the difference between a stored policy and the input.
func (v *editView) compare(env policy.Envelope, doc *policy.Document) {
	// A stored document that the present rules refuse has no keys to compare.
	before, _ := policy.Parse([]byte(env.Text))
	v.Checked, v.Compared, v.Changes = true, env.Epoch, policy.Diff(before, doc)
}

func (c *Console) apply(w http.ResponseWriter, r *http.Request, v *editView) {
	if status := c.check(r.Context(), v); status != http.StatusOK {
		c.showForm(w, status, v)
		return
	}
	if operator := strings.TrimSpace(v.Operator); operator == "" || len(operator) > 63 {
		v.addProblems(policy.Problems{{Key: "operator", Reason: "invalid value", Allowed: "1 to 63 bytes, recorded with the policy"}})
		c.showForm(w, http.StatusUnprocessableEntity, v)
		return
	}
	env, err := policy.Apply(r.Context(), c.o.Platform, []byte(v.Document), v.Base, policy.ApplyOptions{Operator: strings.TrimSpace(v.Operator)})
	if err == nil {
		name := strings.TrimSpace(v.Name)
		http.Redirect(w, r, "/services/"+name+"?applied="+strconv.FormatUint(env.Epoch, 10), http.StatusSeeOther)
		return
	}
	status := http.StatusServiceUnavailable
	var problems policy.Problems
	var claim *policy.ClaimError
	v.Error = err.Error()
	switch {
	case errors.As(err, &problems):
		v.addProblems(problems)
		status = http.StatusUnprocessableEntity
	case errors.As(err, &v.Conflict):
		status = http.StatusConflict
	case errors.As(err, &claim):
		v.addProblems(policy.Problems{{Key: "service.hosts", Reason: err.Error(), Allowed: "hosts that no other service has claimed"}})
		status = http.StatusConflict
	}
	c.showForm(w, status, v)
}

// rebase moves the input onto the policy that won. What this operator left
// alone is taken from that policy, so that applying does not undo its changes.
func (c *Console) rebase(w http.ResponseWriter, r *http.Request, v *editView) {
	env, _, err := policy.Read(r.Context(), c.o.Platform, strings.TrimSpace(v.Name))
	if err != nil {
		v.Error = err.Error()
		c.showForm(w, http.StatusServiceUnavailable, v)
		return
	}
	original, _ := policy.Parse([]byte(v.Original))
	theirs, problems := policy.Parse([]byte(env.Text))
	if env.Epoch > 0 && len(problems) > 0 {
		v.Error = "The stored policy is refused by the present rules: " + problems.Error()
		c.showForm(w, http.StatusConflict, v)
		return
	}
	if theirs != nil && len(theirs.Service.Routes)+len(v.Routes) > maxFormRoutes {
		v.Error = tooManyRoutes
		c.showForm(w, http.StatusConflict, v)
		return
	}
	if theirs != nil {
		base := &form{Values: map[string]string{}}
		if original != nil {
			base = formOf(original)
		}
		v.Clashes = v.merge(base, formOf(theirs))
	}
	v.Base, v.Original = env.Epoch, env.Text
	status := c.check(r.Context(), v)
	v.Notice += " The form is now based on epoch " + strconv.FormatUint(env.Epoch, 10) + ". Check the difference before you apply."
	c.showForm(w, status, v)
}
