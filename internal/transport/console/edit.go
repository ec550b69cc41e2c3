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

// tooManyRoutes is the message for a policy with too many routes for the form.
var tooManyRoutes = fmt.Sprintf("A form holds at most %d routes. Use wigeonctl for this policy.", maxFormRoutes)

// editView is the data of the form page.
type editView struct {
	*form
	Scalars []scalarField
	Methods []string
	// Problems holds the validation problems by field key. Problems that belong to
	// no field have the key "".
	Problems map[string][]policy.Problem
	// Notice and Error are messages shown above the form.
	Notice, Error string
	// Document is the resulting policy document, shown after a check or a conflict.
	Document string
	// Checked reports whether Changes and Compared are set.
	Checked bool
	// Compared is the epoch that the form was compared with.
	Compared uint64
	Changes  []policy.Change
	// Conflict describes the policy that another operator applied first.
	Conflict *policy.ConflictError
	// Clashes are the fields that both operators changed.
	Clashes []string
}

// ProblemsOf returns the problems of a field.
func (v *editView) ProblemsOf(key string) []policy.Problem { return v.Problems[key] }

// RouteKey returns the key of a field of route i.
func (v *editView) RouteKey(i int, field string) string { return routeKey(i, field) }

// addProblems adds each problem to the innermost field that contains its key.
func (v *editView) addProblems(problems policy.Problems) {
	fields := map[string]bool{"operator": true, "service.name": true, "service.hosts": true, "service.route": true}
	for _, sc := range scalarFields {
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
	v.Scalars, v.Methods = scalarFields, policy.Methods
	title := "New service"
	if v.Base > 0 {
		title = "Policy of " + v.Name
	}
	c.renderPage(w, status, "edit.html", title, v)
}

// loadPolicy returns the stored policy of a service. If it cannot be read from the
// platform, loadPolicy returns the policy in force on this node and a notice.
func (c *Console) loadPolicy(ctx context.Context, service string) (policy.Envelope, string) {
	env, _, err := policy.Read(ctx, c.opts.Platform, service)
	if err == nil {
		return env, ""
	}
	notice := "The platform cannot be read (" + err.Error() + "). "
	if p := c.opts.Policies.Get(service); p != nil {
		return policy.Envelope{Epoch: p.Epoch, Text: string(p.Text)}, notice + "The policy shown is the one in force on this node."
	}
	return policy.Envelope{}, notice + "No policy of the service is in force on this node."
}

// getForm handles GET /edit. It shows the form for an existing service, or an
// empty form for a new one.
func (c *Console) getForm(w http.ResponseWriter, r *http.Request) {
	service := r.URL.Query().Get("service")
	v := &editView{form: &form{Values: map[string]string{}, Routes: make([]routeForm, 1)}}
	if service != "" {
		env, notice := c.loadPolicy(r.Context(), service)
		v.Notice = notice
		doc, problems := policy.Parse([]byte(env.Text))
		switch {
		case env.Epoch == 0:
		case len(problems) > 0:
			v.Document, v.Error = env.Text, "The stored policy is refused by the present rules: "+problems.Error()
		case len(doc.Service.Routes) > maxFormRoutes:
			c.renderPage(w, http.StatusUnprocessableEntity, "error.html", "Policy of "+service, tooManyRoutes)
			return
		default:
			v.form = formFromDocument(doc)
			if strings.Contains(env.Text, "#") {
				v.Notice += " Comments in the stored document are lost when the form is applied."
			}
		}
		v.Name, v.Base, v.Original = service, env.Epoch, env.Text
	}
	c.showForm(w, http.StatusOK, v)
}

// postForm handles POST /edit and runs the action of the pressed button. The
// response contains the input again unless the policy was accepted.
func (c *Console) postForm(w http.ResponseWriter, r *http.Request) {
	if !parseForm(w, r) {
		return
	}
	f, err := parseFormValues(r.PostForm)
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

// check validates the input. It sets the problems, or the document and the
// difference from the stored policy, and returns the HTTP status of the page.
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
	env, notice := c.loadPolicy(ctx, doc.Service.Name)
	v.Notice += notice
	v.setChanges(env, doc)
	return http.StatusOK
}

// setChanges sets the difference between a stored policy and the input.
func (v *editView) setChanges(env policy.Envelope, doc *policy.Document) {
	// If the current rules reject the stored document, all keys of the input are
	// shown as new.
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
	env, err := policy.Apply(r.Context(), c.opts.Platform, []byte(v.Document), v.Base, policy.ApplyOptions{Operator: strings.TrimSpace(v.Operator)})
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

// rebase merges the input with the stored policy after a conflict. Fields that
// this operator did not change are taken from the stored policy, so that applying
// the form does not undo the other operator's changes.
func (c *Console) rebase(w http.ResponseWriter, r *http.Request, v *editView) {
	env, _, err := policy.Read(r.Context(), c.opts.Platform, strings.TrimSpace(v.Name))
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
			base = formFromDocument(original)
		}
		v.Clashes = v.merge(base, formFromDocument(theirs))
	}
	v.Base, v.Original = env.Epoch, env.Text
	status := c.check(r.Context(), v)
	v.Notice += " The form is now based on epoch " + strconv.FormatUint(env.Epoch, 10) + ". Check the difference before you apply."
	c.showForm(w, status, v)
}
