package membership

import (
	"wigeonspring.example/wigeonspring/internal/state/registry"
)

// update is one queued change of a member.
type update struct {
	id     registry.NodeID
	sent   int
	urgent bool
	// limit bounds the transmissions below the general limit; 0 if it does not.
	limit int
}

// queue holds the updates that are still to be transmitted, by number of
// transmissions so far, so that the least known are sent first. At most one
// update per member is queued; the newest version is read when it is sent.
type queue struct {
	byID map[registry.NodeID]*update
	// levels[urgent][sent] lists updates; entries that byID no longer holds are
	// skipped and removed.
	levels [2][][]*update
}

func newQueue() *queue { return &queue{byID: make(map[registry.NodeID]*update)} }

func level(urgent bool) int {
	if urgent {
		return 0
	}
	return 1
}

// add queues a change of the member, replacing an older one.
func (q *queue) add(id registry.NodeID, urgent bool) {
	u := &update{id: id, urgent: urgent}
	q.byID[id] = u
	q.put(u)
}

// remind queues a change again for a few transmissions, unless it is still queued
// with fewer transmissions than that.
func (q *queue) remind(id registry.NodeID, times int) {
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

// fresh reports whether an update was sent fewer than n times.
func (q *queue) fresh(n int) bool {
	for i := range q.levels {
		for sent := 0; sent < n && sent < len(q.levels[i]); sent++ {
			if q.compact(i, sent) > 0 {
				return true
			}
		}
	}
	return false
}

// compact drops replaced updates from one list and returns its length.
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

// take hands out updates, urgent and least transmitted first, to fit, which
// reports whether the update was used. It stops after a few updates that did
// not fit. An update that reaches limit transmissions is dropped.
func (q *queue) take(limit int, fit func(id registry.NodeID, urgent bool, sent int) bool) {
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
				case fit(u.id, u.urgent, u.sent):
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
