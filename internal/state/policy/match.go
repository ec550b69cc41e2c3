package policy

import (
	"slices"
	"strings"
)

// Match returns the most specific route for a request. An exact path precedes a
// prefix, a longer prefix precedes a shorter one, and with the same path a route that
// names the method precedes one for all methods. A path with "." or ".." segments
// matches no route: a backend server may resolve the segments and then run a request
// of another route, which may not be idempotent.
func (d *Document) Match(method, path string) (*Route, bool) {
	if hasDotSegment(path) {
		return nil, false
	}
	var best *Route
	bestScore := -1
	for i := range d.Service.Routes {
		r := &d.Service.Routes[i]
		if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
			continue
		}
		// The score orders the routes by exact match, then length, then method.
		var score int
		if prefix, ok := strings.CutSuffix(r.Path, "*"); ok {
			if !strings.HasPrefix(path, prefix) {
				continue
			}
			score = 2 * len(prefix)
		} else if path == r.Path {
			score = 2 * (len(path) + 1)
		} else {
			continue
		}
		if len(r.Methods) > 0 {
			score++
		}
		if score > bestScore {
			best, bestScore = r, score
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
