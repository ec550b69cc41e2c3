package verify

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"time"

	"wigeonspring.example/wigeonspring/standin/record"
)

// Placement is a line in the log of a node that says that it chose a backend server for a
// request. Lines of other kinds have another Kind.
type Placement struct {
	Kind    string `json:"msg"`
	At      string `json:"at"`
	Backend string `json:"backend"`
	Request string `json:"request_id"`
}

// placementKind is the kind of the lines that are placements.
const placementKind = "request_placed"

// logTimeLayout is the layout of times in the log of a node.
const logTimeLayout = "2006-01-02T15:04:05.000Z0700"

// ReadPlacements reads the placements from the log of a node. It ignores all other lines.
func ReadPlacements(log io.Reader) []Placement {
	var list []Placement
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var p Placement
		if json.Unmarshal(scanner.Bytes(), &p) == nil && p.Kind == placementKind {
			list = append(list, p)
		}
	}
	return list
}

// AddDeparted counts the requests that nodes placed at a backend server later than limit
// after a node had acknowledged its departure, and before it started again.
func (r *Report) AddDeparted(runs []record.Run, placements []Placement, limit time.Duration) {
	lifecycle := slices.DeleteFunc(slices.Clone(runs), func(run record.Run) bool { return run.Phase != record.Joined && run.Phase != record.Left })
	for _, p := range placements {
		at, err := time.Parse(logTimeLayout, p.At)
		if err != nil {
			r.Departed++
			r.addExample("placement with an invalid time: %+v", p)
			continue
		}
		if left := lastDeparture(lifecycle, p.Backend, at); !left.IsZero() && at.Sub(left) > limit {
			r.Departed++
			r.addExample("placed at %s %v after its departure: request %s", p.Backend, at.Sub(left), p.Request)
		}
	}
}

// lastDeparture returns when the departure of a backend server was first acknowledged, or
// zero if it has none before the given time or has started again since.
func lastDeparture(runs []record.Run, backend string, before time.Time) time.Time {
	var joined, left time.Time
	for _, run := range runs {
		if run.Backend == backend && run.Phase == record.Joined && run.Time.Before(before) && run.Time.After(joined) {
			joined = run.Time
		}
	}
	for _, run := range runs {
		if run.Backend == backend && run.Phase == record.Left && run.Time.Before(before) && run.Time.After(joined) &&
			(left.IsZero() || run.Time.Before(left)) {
			left = run.Time
		}
	}
	return left
}
