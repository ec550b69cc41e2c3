package cost

import (
	"container/list"
	"math"
	"sync"
	"time"

	"wigeonspring.example/wigeonspring/internal/state/registry"
)

const (
	// maxGroups bounds the groups for which a histogram is kept, and maxGroupAge the time
	// for which an unused group is kept.
	maxGroups   = 512
	maxGroupAge = time.Minute
	// parentWeight is the number of samples with which the parent of a group counts.
	parentWeight = 4
	// unknownWork is assumed for a service without samples.
	unknownWork = 100 * time.Millisecond
	// minSpeed and maxSpeed bound the relative speed of a backend server.
	minSpeed = 1.0 / 8
	maxSpeed = 4.0
	// speedTrust is the part of an observed speed that counts. The rest pulls the speed to 1,
	// because work and speed cannot be told apart if one server gets most requests of a class.
	speedTrust = 0.8
	// speedShare is the share of a new sample in the speed of a backend server, and
	// speedHalfLife the time in which the speed of one without samples returns half of
	// the way to 1.
	speedShare    = 0.05
	speedHalfLife = 20 * time.Second
	// maxServers bounds the backend servers for which a speed is kept.
	maxServers = 4096
)

// Estimate describes the work that a request is likely to need at a backend server of speed 1.
type Estimate struct {
	Mean, Median, P90 time.Duration
	// Samples is the weight of the samples of the class itself.
	Samples float64
}

// Estimator learns the work of classes of requests and the speeds of backend servers. It is
// safe for concurrent use.
type Estimator struct {
	mu     sync.Mutex
	groups map[Class]*list.Element // of *group, most recently used first
	order  *list.List
	speeds map[registry.BackendID]*speed
}

type group struct {
	key     Class
	used    time.Time
	samples histogram
}

// speed is the relative speed of a backend server, as a logarithm.
type speed struct {
	log     float64
	updated time.Time
}

// NewEstimator returns an estimator without samples.
func NewEstimator() *Estimator {
	return &Estimator{groups: make(map[Class]*list.Element), order: list.New(), speeds: make(map[registry.BackendID]*speed)}
}

// levelsOf returns the groups of a class, from the most general one.
func levelsOf(c Class) [3]Class {
	return [3]Class{{Service: c.Service}, {Service: c.Service, Route: c.Route}, c}
}

// Observe records the service time of a request at a backend server.
func (e *Estimator) Observe(now time.Time, c Class, server registry.BackendID, work time.Duration) {
	if work <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	normalized := time.Duration(float64(work) * e.speed(now, server))
	if el := e.groups[c]; el != nil {
		h := &el.Value.(*group).samples
		if h.decay(now); h.weight >= parentWeight {
			// The logarithm of skewed service times has a mean that a few heavy requests
			// do not dominate.
			e.learnSpeed(now, server, h.sumLog/h.weight-math.Log(float64(work)))
		}
	}
	for _, key := range levelsOf(c) {
		e.group(now, key).samples.add(now, normalized)
	}
}

// Estimate returns the work that a request of the class is likely to need.
func (e *Estimator) Estimate(now time.Time, c Class) Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.estimate(now, c)
}

// estimate blends the histogram of each group into that of its parent.
func (e *Estimator) estimate(now time.Time, c Class) Estimate {
	mean, own := float64(unknownWork), 0.0
	shares := make([]float64, buckets)
	shares[bucketOf(unknownWork)] = 1
	for _, key := range levelsOf(c) {
		own = 0
		el := e.groups[key]
		if el == nil {
			continue
		}
		h := &el.Value.(*group).samples
		h.decay(now)
		own = h.weight
		prior := float64(parentWeight)
		if key.Route == "" {
			prior = math.SmallestNonzeroFloat32 // A service has no parent.
		}
		total := own + prior
		mean = (h.sum + prior*mean) / total
		for i := range shares {
			shares[i] = (float64(h.counts[i]) + prior*shares[i]) / total
		}
	}
	return Estimate{Mean: time.Duration(mean), Median: quantile(shares, 0.5), P90: quantile(shares, 0.9), Samples: own}
}

func quantile(shares []float64, q float64) time.Duration {
	sum := 0.0
	for i, share := range shares {
		if sum += share; sum >= q {
			return bucketValue(i)
		}
	}
	return bucketValue(len(shares) - 1)
}

// group returns the group of a key. If there are too many, it replaces the one that was not
// used for longest.
func (e *Estimator) group(now time.Time, key Class) *group {
	if el := e.groups[key]; el != nil {
		g := el.Value.(*group)
		g.used = now
		e.order.MoveToFront(el)
		return g
	}
	for last := e.order.Back(); last != nil; last = e.order.Back() {
		g := last.Value.(*group)
		if e.order.Len() < maxGroups && now.Sub(g.used) <= maxGroupAge {
			break
		}
		e.order.Remove(last)
		delete(e.groups, g.key)
	}
	g := &group{key: key, used: now}
	e.groups[key] = e.order.PushFront(g)
	return g
}

// Speed returns the relative speed of a backend server; 1 is usual.
func (e *Estimator) Speed(now time.Time, id registry.BackendID) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.speed(now, id)
}

func (e *Estimator) speed(now time.Time, id registry.BackendID) float64 {
	s := e.speeds[id]
	if s == nil {
		return 1
	}
	return math.Exp(s.log * math.Exp2(-float64(now.Sub(s.updated))/float64(speedHalfLife)))
}

// learnSpeed adds a sample, the logarithm of a speed, to the speed of a backend server.
func (e *Estimator) learnSpeed(now time.Time, id registry.BackendID, sample float64) {
	s := e.speeds[id]
	if s == nil {
		if len(e.speeds) >= maxServers {
			e.removeOldSpeeds(now)
		}
		s = &speed{updated: now}
		e.speeds[id] = s
	}
	s.log = math.Log(e.speed(now, id))
	s.log += speedShare * (speedTrust*min(max(sample, math.Log(minSpeed)), math.Log(maxSpeed)) - s.log)
	s.updated = now
}

// removeOldSpeeds removes the speeds that have returned to 1, or all if there are none.
func (e *Estimator) removeOldSpeeds(now time.Time) {
	for id, s := range e.speeds {
		if now.Sub(s.updated) > 4*speedHalfLife {
			delete(e.speeds, id)
		}
	}
	if len(e.speeds) >= maxServers {
		clear(e.speeds)
	}
}
