// Package poolmove decides which idle workers move between pools.
//
// The package does no I/O and time is a parameter. A move must pay off: demand
// counts only when it lasts longer than a move costs.
package poolmove

import (
	"math"
	"slices"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

// Policy names a way of moving workers.
type Policy string

// Policies. PolicyNone never moves a worker.
const (
	PolicyLasting Policy = "lasting"
	PolicyNone    Policy = "none"
)

const (
	// smoothing is the time constant of the demand, so that one short gap does
	// not end a lasting demand.
	smoothing = 3 * time.Second
	// DemandWindow is the time for which demand must exceed the capacity without
	// a break: the cost of a move, and several times the length of a burst.
	DemandWindow = 45 * time.Second
	// SurplusWindow is the time over which the highest demand must leave room.
	SurplusWindow = 3 * time.Minute
	bucket        = 5 * time.Second
	// Cooldown is the time after a move in which its pools take part in no move
	// in the opposite direction.
	Cooldown = 2 * time.Minute
	// MaxMoves bounds the moves of one plan.
	MaxMoves = 2
	// needFactor and surplusFactor leave a gap between taking and giving.
	needFactor    = 1.1
	surplusFactor = 0.7
)

// Worker is a worker that could move.
type Worker struct {
	Name       string
	Rack       string
	DataCentre string
	// Idle is true when the worker is active, healthy and runs nothing.
	Idle bool
}

// Pool is a pool at a moment.
type Pool struct {
	Name  string
	Spare bool
	// Demand is the running and queued work of the pool, in workers.
	Demand float64
	// Usable is the number of workers that take work, and Unavailable that of
	// those that are down, in maintenance or quarantined.
	Usable         int
	Unavailable    int
	MaxUnavailable int
	Workers        []Worker
	// FailureWave is true during a failure wave in the pool.
	FailureWave bool
	// Borrowed is the number of workers that came from the spare pool by moves.
	Borrowed int
}

// Snapshot is the input of planning.
type Snapshot struct {
	Now   fleet.Time
	Pools []Pool
}

type span struct {
	start     fleet.Time
	low, high float64
}

type history struct {
	level   float64
	at      fleet.Time
	spans   []span
	since   fleet.Time
	gave    fleet.Time
	took    fleet.Time
	hasGave bool
	hasTook bool
}

// Tracker holds the demand history of pools. It is not safe for concurrent use.
type Tracker struct {
	policy Policy
	pools  map[string]*history
}

// New returns a tracker without history. An unknown policy means PolicyLasting.
func New(policy Policy) *Tracker {
	return &Tracker{policy: policy, pools: map[string]*history{}}
}

// Plan takes the present demand into account and returns the moves that pay off.
func (t *Tracker) Plan(s Snapshot) []fleet.PoolMove {
	for _, p := range s.Pools {
		t.observe(p, s.Now)
	}
	if t.policy == PolicyNone || anyWave(s.Pools) {
		return nil
	}
	pools := slices.Clone(s.Pools)
	var moves []fleet.PoolMove
	for len(moves) < MaxMoves {
		m, ok := t.next(pools, s.Now)
		if !ok {
			break
		}
		moves = append(moves, m)
		t.record(m, s.Now)
		shift(pools, m)
	}
	return moves
}

func anyWave(pools []Pool) bool {
	return slices.ContainsFunc(pools, func(p Pool) bool { return p.FailureWave })
}

func (t *Tracker) observe(p Pool, now fleet.Time) {
	h := t.pools[p.Name]
	if h == nil {
		t.pools[p.Name] = &history{
			level: p.Demand, at: now, since: now,
			spans: []span{{start: now, low: p.Demand, high: p.Demand}},
		}
		return
	}
	keep := math.Exp(-now.Sub(h.at).Seconds() / smoothing.Seconds())
	h.level = h.level*keep + p.Demand*(1-keep)
	h.at = now
	last := &h.spans[len(h.spans)-1]
	if now.Sub(last.start) >= bucket {
		h.spans = append(h.spans, span{start: now, low: h.level, high: h.level})
		last = &h.spans[len(h.spans)-1]
	}
	last.low = min(last.low, h.level)
	last.high = max(last.high, h.level)
	for now.Sub(h.spans[0].start) > SurplusWindow+bucket {
		h.spans = h.spans[1:]
	}
}

// lasting returns the lowest demand over DemandWindow, and false without a full window.
func (h *history) lasting(now fleet.Time) (float64, bool) {
	low := math.Inf(1)
	for _, s := range h.spans {
		if now.Sub(s.start) <= DemandWindow+bucket {
			low = min(low, s.low)
		}
	}
	return low, now.Sub(h.since) >= DemandWindow
}

// peak returns the highest demand over SurplusWindow, and false without a full window.
func (h *history) peak(now fleet.Time) (float64, bool) {
	high := 0.0
	for _, s := range h.spans {
		high = max(high, s.high)
	}
	return high, now.Sub(h.since) >= SurplusWindow
}

// next returns the most useful move: to the pool that lacks most, from the spare
// pool or else from the pool with the largest surplus; or back to the spare pool.
func (t *Tracker) next(pools []Pool, now fleet.Time) (fleet.PoolMove, bool) {
	needy, lack := -1, 0.0
	for k, p := range pools {
		if l := t.lack(p, now); l > lack {
			needy, lack = k, l
		}
	}
	if needy >= 0 {
		if m, ok := t.supply(pools, needy, now); ok {
			return m, true
		}
	}
	return t.giveBack(pools, now)
}

// lack returns the workers that a lasting demand exceeds the usable ones by.
func (t *Tracker) lack(p Pool, now fleet.Time) float64 {
	h := t.pools[p.Name]
	if p.Spare || (h.hasGave && now.Sub(h.gave) < Cooldown) {
		return 0
	}
	low, full := h.lasting(now)
	if !full || low <= float64(p.Usable)*needFactor {
		return 0
	}
	return low - float64(p.Usable)
}

func (t *Tracker) supply(pools []Pool, needy int, now fleet.Time) (fleet.PoolMove, bool) {
	donor, most := -1, 0.0
	for k, p := range pools {
		if k == needy || idle(p) == "" || p.Unavailable > p.MaxUnavailable {
			continue
		}
		surplus := t.surplus(p, now)
		if p.Spare {
			surplus = math.Inf(1)
		}
		if surplus > most {
			donor, most = k, surplus
		}
	}
	if donor < 0 {
		return fleet.PoolMove{}, false
	}
	return fleet.PoolMove{
		Instance: idle(pools[donor]), From: pools[donor].Name, To: pools[needy].Name,
		Reason: "lasting demand",
	}, true
}

// surplus returns the workers that the pool can give without taking them back
// soon, at least one, or 0.
func (t *Tracker) surplus(p Pool, now fleet.Time) float64 {
	h := t.pools[p.Name]
	if h.hasTook && now.Sub(h.took) < Cooldown {
		return 0
	}
	high, full := h.peak(now)
	spare := float64(p.Usable)*surplusFactor - high
	if !full || spare < 1 || p.Usable <= 1+p.MaxUnavailable {
		return 0
	}
	return spare
}

// giveBack returns a borrowed worker to the spare pool.
func (t *Tracker) giveBack(pools []Pool, now fleet.Time) (fleet.PoolMove, bool) {
	spare := slices.IndexFunc(pools, func(p Pool) bool { return p.Spare })
	if spare < 0 {
		return fleet.PoolMove{}, false
	}
	for _, p := range pools {
		if p.Spare || p.Borrowed == 0 || idle(p) == "" || t.surplus(p, now) < 1 || p.Unavailable > p.MaxUnavailable {
			continue
		}
		return fleet.PoolMove{
			Instance: idle(p), From: p.Name, To: pools[spare].Name, Reason: "demand has ended",
		}, true
	}
	return fleet.PoolMove{}, false
}

// idle returns the first idle worker of a pool, or an empty name.
func idle(p Pool) string {
	for _, w := range p.Workers {
		if w.Idle {
			return w.Name
		}
	}
	return ""
}

func (t *Tracker) record(m fleet.PoolMove, now fleet.Time) {
	from, to := t.pools[m.From], t.pools[m.To]
	from.gave, from.hasGave = now, true
	to.took, to.hasTook = now, true
}

// shift applies a move to the pools of the plan.
func shift(pools []Pool, m fleet.PoolMove) {
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
