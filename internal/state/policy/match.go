package policy

import (
	"slices"
	"strings"
)

// Match returns the most specific route for a request. An exact path precedes
// a prefix, a longer prefix precedes a shorter one, and at the same path a
// route that names the method precedes one for every method. A path with "."
// or ".." segments matches no route: a backend server may resolve the segments
// and then run a request of another route, which may not be repeatable.
func (d *Document) Match(method, path string) (*Route, bool) {
	if hasDotSegment(path) {
		return nil, false
	}
	var best *Route
	bestRank := -1
	for i := range d.Service.Routes {
		r := &d.Service.Routes[i]
		if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
			continue
		}
		// The rank orders by exactness, then length, then method.
		var rank int
		if prefix, ok := strings.CutSuffix(r.Path, "*"); ok {
			if !strings.HasPrefix(path, prefix) {
				continue
			}
			rank = 2 * len(prefix)
		} else if path == r.Path {
			rank = 2 * (len(path) + 1)
		} else {
			continue
		}
		if len(r.Methods) > 0 {
			rank++
		}
		if rank > bestRank {
			best, bestRank = r, rank
		}
	}
	return best, best != nil
}

func hasDotSegment(path string) bool {
	for rest := path; ; {
		i := strings.Index(rest, "/.")
		if i < 0 {
			return false
		}
		rest = rest[i+1:]
		segment, _, _ := strings.Cut(rest, "/")
		if segment == "." || segment == ".." {
			return true
		}
	}
}
