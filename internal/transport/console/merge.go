package console

import (
	"reflect"
	"slices"
	"strings"
)

// merge performs a three-way merge of the input and theirs with the common
// ancestor base. Values that only theirs changed are copied to the input. merge
// returns the keys that both changed to different values, for which the input
// keeps its own value. Routes are matched by name and merged as a whole.
func (f *form) merge(base, theirs *form) (clashes []string) {
	field := func(key string, mine *string, base, theirs string) {
		normalizedMine := normalizeLines(*mine)
		switch {
		case normalizedMine == normalizeLines(theirs) || normalizeLines(base) == normalizeLines(theirs):
		case normalizedMine == normalizeLines(base):
			*mine = theirs
		default:
			clashes = append(clashes, key)
		}
	}
	field("service.hosts", &f.Hosts, base.Hosts, theirs.Hosts)
	for _, sc := range scalarFields {
		value := f.Values[sc.Key]
		field(sc.Key, &value, base.Values[sc.Key], theirs.Values[sc.Key])
		f.Values[sc.Key] = value
	}

	var merged []routeForm
	for _, mine := range f.Routes {
		b, t := base.routeByName(mine.Name), theirs.routeByName(mine.Name)
		switch {
		case equalRoutes(b, t) || equalRoutes(&mine, t):
			merged = append(merged, mine)
		case equalRoutes(&mine, b):
			if t != nil {
				merged = append(merged, *t)
			}
		default:
			clashes = append(clashes, "route "+mine.Name)
			merged = append(merged, mine)
		}
	}
	for _, t := range theirs.Routes {
		if f.routeByName(t.Name) != nil {
			continue
		}
		switch b := base.routeByName(t.Name); {
		case b == nil:
			merged = append(merged, t)
		case !equalRoutes(b, &t):
			// The input removed the route, and theirs changed it.
			clashes = append(clashes, "route "+t.Name)
		}
	}
	f.Routes = merged
	return clashes
}

func (f *form) routeByName(name string) *routeForm {
	i := slices.IndexFunc(f.Routes, func(r routeForm) bool { return normalizeLines(r.Name) == normalizeLines(name) })
	if i < 0 {
		return nil
	}
	return &f.Routes[i]
}

func equalRoutes(a, b *routeForm) bool {
	if a == nil || b == nil {
		return a == b
	}
	return reflect.DeepEqual(a.normalized(), b.normalized())
}

func (r *routeForm) normalized() routeForm {
	n := routeForm{Name: normalizeLines(r.Name), Path: normalizeLines(r.Path), Timeout: normalizeLines(r.Timeout), Idempotent: r.Idempotent}
	selector := nonBlankLines(r.Selector)
	slices.Sort(selector)
	n.Selector = strings.Join(selector, "\n")
	n.Methods = append([]string{}, r.Methods...)
	slices.Sort(n.Methods)
	return n
}

// normalizeLines removes blank lines and surrounding space, and replaces the CRLF
// line ends that browsers send, so that texts can be compared.
func normalizeLines(s string) string { return strings.Join(nonBlankLines(s), "\n") }
