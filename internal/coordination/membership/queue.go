package membership

import (
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// update is one queued change of a member.
type update struct {
	id     registry.NodeID
	sent   int
	urgent bool
	// limit is the maximum number of transmissions if it is below the general limit.
	// 0 means that only the general limit applies.
	limit int
}

// queue holds the updates that are to be transmitted, by the number of transmissions
// so far. Updates with the fewest transmissions are sent first, because the fewest nodes
// know them. At most one update for each member is queued. The version is read when the
// update is sent.
type queue struct {
	byID map[registry.NodeID]*update
	// levels[level(urgent)][sent] lists updates. Updates that are no longer in byID
	// are skipped and removed.
	levels [2][][]*update
}

func newQueue() *queue { return &queue{byID: make(map[registry.NodeID]*update)} }

func level(urgent bool) int {
	if urgent {
		return 0
	}
	return 1
}

// add queues an update for a member. It replaces an older update.
func (q *queue) add(id registry.NodeID, urgent bool) {
	u := &update{id: id, urgent: urgent}
	q.byID[id] = u
	q.put(u)
}

// requeue queues an update again for the given number of transmissions, unless it is
// still queued and has had fewer transmissions than that.
func (q *queue) requeue(id registry.NodeID, times int) {
	if old := q.byID[id]; old != nil && old.sent < times {
		return
	}
	u := &update{id: id, urgent: true, limit: times}
	q.byID[id] = u
	q.put(u)
}

func (q *queue) put(u *update) {
	l := &q.levels[level(u.urgent)]
	for len(*l) <= u.sent {
		*l = append(*l, nil)
	}
	(*l)[u.sent] = append((*l)[u.sent], u)
}

func (q *queue) remove(id registry.NodeID) { delete(q.byID, id) }

// len returns the number of queued updates.
func (q *queue) len() int { return len(q.byID) }

// hasFresh reports whether the queue has an update with fewer than n transmissions.
func (q *queue) hasFresh(n int) bool {
	for i := range q.levels {
		for sent := 0; sent < n && sent < len(q.levels[i]); sent++ {
			if q.compact(i, sent) > 0 {
				return true
			}
		}
	}
	return false
}

// compact removes replaced updates from one list and returns the length of the rest.
func (q *queue) compact(i, sent int) int {
	list := q.levels[i][sent]
	kept := list[:0]
	for _, u := range list {
		if q.byID[u.id] == u {
			kept = append(kept, u)
		}
	}
	clear(list[len(kept):])
	q.levels[i][sent] = kept
	return len(kept)
}

// take passes updates to send: urgent ones first, and within each class those with the
// fewest transmissions first. send reports whether it has used the update. take stops
// after four updates that were not used. An update that reaches limit transmissions is
// removed.
func (q *queue) take(limit int, send func(id registry.NodeID, urgent bool, sent int) bool) {
	var moved []*update
	misses := 0
	for i := range q.levels {
		for sent := 0; sent < len(q.levels[i]) && misses < 4; sent++ {
			list := q.levels[i][sent]
			if len(list) == 0 {
				continue
			}
			kept := list[:0]
			for n, u := range list {
				if misses >= 4 {
					kept = append(kept, list[n:]...)
					break
				}
				switch {
				case q.byID[u.id] != u:
				case send(u.id, u.urgent, u.sent):
					u.sent++
					moved = append(moved, u)
				default:
					misses++
					kept = append(kept, u)
				}
			}
			clear(list[len(kept):])
			q.levels[i][sent] = kept
		}
	}
	for _, u := range moved {
		if u.sent >= limit || (u.limit > 0 && u.sent >= u.limit) {
			delete(q.byID, u.id)
			continue
		}
		q.put(u)
	}
}
