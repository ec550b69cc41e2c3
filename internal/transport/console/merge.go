package console

import (
	"reflect"
	"slices"
	"strings"
)

// merge takes over what differs between base and theirs and is unchanged
// between base and the input. It returns the keys that both changed to
// different values; the input keeps its own value there. Routes are told apart
// by name and merged as a whole.
func (f *form) merge(base, theirs *form) (clashes []string) {
	field := func(key string, mine *string, base, theirs string) {
		mineNow := normal(*mine)
		switch {
		case mineNow == normal(theirs) || normal(base) == normal(theirs):
		case mineNow == normal(base):
			*mine = theirs
		default:
			clashes = append(clashes, key)
		}
	}
	field("service.hosts", &f.Hosts, base.Hosts, theirs.Hosts)
	for _, sc := range scalars {
		value := f.Values[sc.Key]
		field(sc.Key, &value, base.Values[sc.Key], theirs.Values[sc.Key])
		f.Values[sc.Key] = value
	}

	var merged []routeForm
	for _, mine := range f.Routes {
		b, t := base.route(mine.Name), theirs.route(mine.Name)
		switch {
		case same(b, t) || same(&mine, t):
			merged = append(merged, mine)
		case same(&mine, b):
			if t != nil {
				merged = append(merged, *t)
			}
		default:
			clashes = append(clashes, "route "+mine.Name)
			merged = append(merged, mine)
		}
	}
	for _, t := range theirs.Routes {
		if f.route(t.Name) != nil {
			continue
		}
		switch b := base.route(t.Name); {
		case b == nil:
			merged = append(merged, t)
		case !same(b, &t):
			// Removed here, changed there.
			clashes = append(clashes, "route "+t.Name)
		}
	}
	f.Routes = merged
	return clashes
}

func (f *form) route(name string) *routeForm {
	i := slices.IndexFunc(f.Routes, func(r routeForm) bool { return normal(r.Name) == normal(name) })
	if i < 0 {
		return nil
	}
	return &f.Routes[i]
}

func same(a, b *routeForm) bool {
	if a == nil || b == nil {
		return a == b
	}
	return reflect.DeepEqual(a.normal(), b.normal())
}

func (r *routeForm) normal() routeForm {
	n := routeForm{Name: normal(r.Name), Path: normal(r.Path), Timeout: normal(r.Timeout), Idempotent: r.Idempotent}
	selector := lines(r.Selector)
	slices.Sort(selector)
	n.Selector = strings.Join(selector, "\n")
	n.Methods = append([]string{}, r.Methods...)
	slices.Sort(n.Methods)
	return n
}

// normal makes texts comparable: browsers send line ends as CRLF.
func normal(s string) string { return strings.Join(lines(s), "\n") }
