// Package poolmove decides which idle workers move from one pool to another.
//
// A move must be worth its cost: a pool receives workers only when its demand has
// exceeded its capacity for longer than a move costs. The package does no I/O and
// takes the time as a parameter.
package poolmove

import (
	"math"
	"slices"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

// Policy selects whether workers move between pools.
type Policy string

const (
	// PolicyLasting moves workers to pools with a lasting demand. It is the default.
	PolicyLasting Policy = "lasting"
	// PolicyNone never moves a worker.
	PolicyNone Policy = "none"
)

const (
	// demandTimeConstant is the time constant of the exponential smoothing of the
	// demand. It keeps one short gap from ending a lasting demand.
	demandTimeConstant = 3 * time.Second
	// DemandWindow is the time for which the demand of a pool must exceed its
	// capacity without a break before it receives workers. It covers the cost of a
	// move and several times the length of a burst.
	DemandWindow = 45 * time.Second
	// SurplusWindow is the time over which the highest demand of a pool must leave
	// workers unused before the pool gives any away.
	SurplusWindow = 3 * time.Minute
	// bucketLength is the resolution of the demand history.
	bucketLength = 5 * time.Second
	// Cooldown is the time after a move in which the pool that gave the worker
	// receives none, and the pool that received it gives none, except that a spare
	// pool may always give.
	Cooldown = 2 * time.Minute
	// MaxMoves is the largest number of moves that one call of Plan returns.
	MaxMoves = 2
	// shortageFactor and surplusFactor are the ratios of demand to usable workers
	// above which a pool has a shortage and below which it has a surplus. The gap
	// between them keeps workers from moving back and forth.
	shortageFactor = 1.1
	surplusFactor  = 0.7
)

// Worker is a worker that takes work and may move to another pool.
type Worker struct {
	Name       string
	Rack       string
	DataCentre string
	// Idle is true when the worker runs nothing.
	Idle bool
}

// Pool is the state of a pool at the time of a snapshot.
type Pool struct {
	Name string
	// Spare is true for a spare pool, which lends workers to other pools.
	Spare bool
	// Demand is the running and queued work of the pool, in workers.
	Demand float64
	// Usable is the number of workers that take work.
	Usable int
	// Unavailable is the number of workers that do not take work, as they are
	// down, in maintenance or quarantined.
	Unavailable int
	// MaxUnavailable is the availability budget. A pool above it gives no workers.
	MaxUnavailable int
	// Workers lists the usable workers.
	Workers []Worker
	// FailureWave is true during a failure wave in the pool.
	FailureWave bool
	// Borrowed is the number of workers that moves have brought into the pool,
	// less the number that they have taken out of it, but not below 0.
	Borrowed int
}

// Snapshot is the input of Tracker.Plan.
type Snapshot struct {
	Now   fleet.Time
	Pools []Pool
}

// demandBucket holds the lowest and highest smoothed demand over bucketLength.
type demandBucket struct {
	start     fleet.Time
	low, high float64
}

// demandHistory is the demand history of a pool, with the times of its latest moves.
type demandHistory struct {
	smoothed      float64
	updatedAt     fleet.Time
	buckets       []demandBucket
	observedSince fleet.Time
	donatedAt     fleet.Time
	receivedAt    fleet.Time
	hasDonated    bool
	hasReceived   bool
}

// Tracker records the demand of pools over time and plans moves from it. It is not
// safe for concurrent use.
type Tracker struct {
	policy Policy
	pools  map[string]*demandHistory
}

// New returns a tracker without history. An unknown policy means PolicyLasting.
func New(policy Policy) *Tracker {
	return &Tracker{policy: policy, pools: map[string]*demandHistory{}}
}

// Plan records the demand of the snapshot and returns the moves to make now, at
// most MaxMoves. There are none while any pool has a failure wave. Plan counts the
// returned moves as made.
func (t *Tracker) Plan(s Snapshot) []fleet.PoolMove {
	for _, p := range s.Pools {
		t.observe(p, s.Now)
	}
	if t.policy == PolicyNone || anyFailureWave(s.Pools) {
		return nil
	}
	pools := slices.Clone(s.Pools)
	var moves []fleet.PoolMove
	for len(moves) < MaxMoves {
		m, ok := t.nextMove(pools, s.Now)
		if !ok {
			break
		}
		moves = append(moves, m)
		t.recordMove(m, s.Now)
		applyMove(pools, m)
	}
	return moves
}

func anyFailureWave(pools []Pool) bool {
	return slices.ContainsFunc(pools, func(p Pool) bool { return p.FailureWave })
}

// observe adds the present demand of a pool to its history.
func (t *Tracker) observe(p Pool, now fleet.Time) {
	h := t.pools[p.Name]
	if h == nil {
		t.pools[p.Name] = &demandHistory{
			smoothed: p.Demand, updatedAt: now, observedSince: now,
			buckets: []demandBucket{{start: now, low: p.Demand, high: p.Demand}},
		}
		return
	}
	decay := math.Exp(-now.Sub(h.updatedAt).Seconds() / demandTimeConstant.Seconds())
	h.smoothed = h.smoothed*decay + p.Demand*(1-decay)
	h.updatedAt = now
	last := &h.buckets[len(h.buckets)-1]
	if now.Sub(last.start) >= bucketLength {
		h.buckets = append(h.buckets, demandBucket{start: now, low: h.smoothed, high: h.smoothed})
		last = &h.buckets[len(h.buckets)-1]
	}
	last.low = min(last.low, h.smoothed)
	last.high = max(last.high, h.smoothed)
	for now.Sub(h.buckets[0].start) > SurplusWindow+bucketLength {
		h.buckets = h.buckets[1:]
	}
}

// sustained returns the lowest demand over DemandWindow, and whether the history
// covers that window.
func (h *demandHistory) sustained(now fleet.Time) (float64, bool) {
	low := math.Inf(1)
	for _, s := range h.buckets {
		if now.Sub(s.start) <= DemandWindow+bucketLength {
			low = min(low, s.low)
		}
	}
	return low, now.Sub(h.observedSince) >= DemandWindow
}

// peak returns the highest demand over SurplusWindow, and whether the history covers
// that window.
func (h *demandHistory) peak(now fleet.Time) (float64, bool) {
	high := 0.0
	for _, s := range h.buckets {
		high = max(high, s.high)
	}
	return high, now.Sub(h.observedSince) >= SurplusWindow
}

// nextMove returns a move to the pool with the largest shortage, or else the return
// of a borrowed worker to the spare pool. It returns false if there is neither.
func (t *Tracker) nextMove(pools []Pool, now fleet.Time) (fleet.PoolMove, bool) {
	recipient, largest := -1, 0.0
	for k, p := range pools {
		if shortage := t.shortage(p, now); shortage > largest {
			recipient, largest = k, shortage
		}
	}
	if recipient >= 0 {
		if m, ok := t.moveTo(pools, recipient, now); ok {
			return m, true
		}
	}
	return t.returnBorrowed(pools, now)
}

// shortage returns the number of workers by which the lasting demand of a pool
// exceeds its usable workers, or 0 if the pool may not receive workers.
func (t *Tracker) shortage(p Pool, now fleet.Time) float64 {
	h := t.pools[p.Name]
	if p.Spare || (h.hasDonated && now.Sub(h.donatedAt) < Cooldown) {
		return 0
	}
	low, full := h.sustained(now)
	if !full || low <= float64(p.Usable)*shortageFactor {
		return 0
	}
	return low - float64(p.Usable)
}

// moveTo returns a move to the recipient from the spare pool, or else from the pool
// with the largest surplus.
func (t *Tracker) moveTo(pools []Pool, recipient int, now fleet.Time) (fleet.PoolMove, bool) {
	donor, largest := -1, 0.0
	for k, p := range pools {
		if k == recipient || firstIdle(p) == "" || p.Unavailable > p.MaxUnavailable {
			continue
		}
		surplus := t.surplus(p, now)
		if p.Spare {
			surplus = math.Inf(1)
		}
		if surplus > largest {
			donor, largest = k, surplus
		}
	}
	if donor < 0 {
		return fleet.PoolMove{}, false
	}
	return fleet.PoolMove{
		Instance: firstIdle(pools[donor]), From: pools[donor].Name, To: pools[recipient].Name,
		Reason: "lasting demand",
	}, true
}

// surplus returns the number of workers, at least 1, that the pool is unlikely to
// need soon, or 0 if it may give none. A pool with only one usable worker more than
// MaxUnavailable, or fewer, gives none.
func (t *Tracker) surplus(p Pool, now fleet.Time) float64 {
	h := t.pools[p.Name]
	if h.hasReceived && now.Sub(h.receivedAt) < Cooldown {
		return 0
	}
	high, full := h.peak(now)
	room := float64(p.Usable)*surplusFactor - high
	if !full || room < 1 || p.Usable <= 1+p.MaxUnavailable {
		return 0
	}
	return room
}

// returnBorrowed returns a move that brings a borrowed worker back to the spare pool.
func (t *Tracker) returnBorrowed(pools []Pool, now fleet.Time) (fleet.PoolMove, bool) {
	spare := slices.IndexFunc(pools, func(p Pool) bool { return p.Spare })
	if spare < 0 {
		return fleet.PoolMove{}, false
	}
	for _, p := range pools {
		if p.Spare || p.Borrowed == 0 || firstIdle(p) == "" || t.surplus(p, now) < 1 || p.Unavailable > p.MaxUnavailable {
			continue
		}
		return fleet.PoolMove{
			Instance: firstIdle(p), From: p.Name, To: pools[spare].Name, Reason: "demand has ended",
		}, true
	}
	return fleet.PoolMove{}, false
}

// firstIdle returns the name of the first idle worker of a pool, or "".
func firstIdle(p Pool) string {
	for _, w := range p.Workers {
		if w.Idle {
			return w.Name
		}
	}
	return ""
}

// recordMove starts the cooldown of both pools of a move.
func (t *Tracker) recordMove(m fleet.PoolMove, now fleet.Time) {
	from, to := t.pools[m.From], t.pools[m.To]
	from.donatedAt, from.hasDonated = now, true
	to.receivedAt, to.hasReceived = now, true
}

// applyMove updates the pools of a snapshot as if the move had been made.
func applyMove(pools []Pool, m fleet.PoolMove) {
	for k := range pools {
		p := &pools[k]
		switch p.Name {
		case m.From:
			p.Usable--
			p.Borrowed = max(0, p.Borrowed-1)
			p.Workers = slices.DeleteFunc(slices.Clone(p.Workers), func(w Worker) bool { return w.Name == m.Instance })
		case m.To:
			p.Usable++
		}
	}
}
