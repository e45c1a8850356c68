package poolmove

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

const tickInterval = 500 * time.Millisecond

// model simulates pools in which as many workers are busy as the demand requires.
type model struct {
	snap Snapshot
	t    *Tracker
	// unmet is the accumulated demand above the capacity, in worker seconds.
	unmet float64
	moves []fleet.PoolMove
	// at holds the time of each move.
	at []fleet.Time
}

func newModel(policy Policy, sizes ...int) *model {
	m := &model{t: New(policy)}
	for k, n := range sizes {
		p := Pool{Name: fmt.Sprint("p", k), MaxUnavailable: 1, Spare: k == 0}
		for i := range n {
			p.Workers = append(p.Workers, Worker{Name: fmt.Sprintf("p%d-%02d", k, i)})
		}
		m.snap.Pools = append(m.snap.Pools, p)
	}
	return m
}

// tick advances the time by half a second with the given demand of each pool, in workers.
func (m *model) tick(demand ...float64) {
	m.snap.Now = m.snap.Now.Add(tickInterval)
	for k := range m.snap.Pools {
		p := &m.snap.Pools[k]
		p.Demand, p.Usable = demand[k], len(p.Workers)
		m.unmet += max(0, demand[k]-float64(p.Usable)) * tickInterval.Seconds()
		for i := range p.Workers {
			p.Workers[i].Idle = float64(i) >= p.Demand
		}
	}
	for _, mv := range m.t.Plan(m.snap) {
		m.moves = append(m.moves, mv)
		m.at = append(m.at, m.snap.Now)
		m.apply(mv)
	}
}

func (m *model) apply(mv fleet.PoolMove) {
	for k := range m.snap.Pools {
		p := &m.snap.Pools[k]
		switch p.Name {
		case mv.From:
			var left []Worker
			for _, w := range p.Workers {
				if w.Name != mv.Instance {
					left = append(left, w)
				}
			}
			p.Workers = left
			p.Borrowed = max(0, p.Borrowed-1)
		case mv.To:
			p.Workers = append(p.Workers, Worker{Name: mv.Instance})
			p.Borrowed++
		}
	}
}

func (m *model) size(k int) int { return len(m.snap.Pools[k].Workers) }

// Checks that bursts cause no move: each pool in turn demands 5 times its mean for
// about 10 s, which is above its capacity, and a twentieth of its mean in between.
func TestBurstsCauseNoMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		m := newModel(PolicyLasting, 4, 12, 12, 12, 12)
		active := 1
		for range 20 {
			active = 1 + (active+rng.Intn(3))%4
			for range 12 + rng.Intn(16) {
				demand := []float64{0, 0, 0, 0, 0}
				for k := 1; k < 5; k++ {
					mean := 4.0
					demand[k] = mean / 20
					if k == active {
						demand[k] = 5 * mean
					}
				}
				m.tick(demand...)
			}
		}
		require.Empty(t, m.moves)
	})
}

// Checks that a lasting demand receives the workers of the spare pool, that these return
// once the demand has ended, and that PolicyNone moves none.
func TestLastingDemandMovesAndReturns(t *testing.T) {
	m := newModel(PolicyLasting, 4, 6, 6)
	none := newModel(PolicyNone, 4, 6, 6)
	for range 200 {
		m.tick(0, 12, 5)
		none.tick(0, 12, 5)
	}
	t.Logf("unmet demand over 100 s: %.0f worker seconds, without moves %.0f", m.unmet, none.unmet)
	require.Less(t, m.unmet, none.unmet)
	require.Equal(t, 0, m.size(0))
	require.Equal(t, 10, m.size(1))
	require.Equal(t, 6, m.size(2))
	require.GreaterOrEqual(t, m.at[0].Sub(0), DemandWindow)
	for range 1200 {
		m.tick(0, 2, 5)
	}
	require.Equal(t, 4, m.size(0))
	require.Empty(t, none.moves)
	require.Len(t, m.moves, 8)
}

// Checks that no worker moves back within the cooldown, that only idle workers move,
// that one plan has at most MaxMoves moves, and that there are none during a
// failure wave.
func TestMovesAreFewAndSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		m := newModel(PolicyLasting, 3, 8, 8)
		demand := []float64{0, 4, 4}
		for n := range 1500 {
			if n%300 == 0 {
				demand = []float64{0, float64(rng.Intn(14)), float64(rng.Intn(14))}
			}
			wave := rng.Intn(4) == 0
			m.snap.Pools[1].FailureWave = wave
			idleBefore := map[string]bool{}
			for k, p := range m.snap.Pools {
				for i, w := range p.Workers {
					idleBefore[w.Name] = float64(i) >= demand[k]
				}
			}
			before := len(m.moves)
			m.tick(demand...)
			added := m.moves[before:]
			require.LessOrEqual(t, len(added), MaxMoves)
			require.False(t, wave && len(added) > 0)
			for _, mv := range added {
				require.True(t, idleBefore[mv.Instance], "a busy worker moved")
			}
		}
		last := map[string]int{}
		for i, mv := range m.moves {
			if k, ok := last[mv.Instance]; ok && m.moves[k].From == mv.To {
				require.GreaterOrEqual(t, m.at[i].Sub(m.at[k]), Cooldown)
			}
			last[mv.Instance] = i
		}
	})
}

// BenchmarkPlan measures a plan at the design size: 21 pools of 95 workers.
func BenchmarkPlan(b *testing.B) {
	sizes := make([]int, 21)
	demand := make([]float64, 21)
	for k := range sizes {
		sizes[k], demand[k] = 95, float64(k*10)
	}
	m := newModel(PolicyLasting, sizes...)
	for b.Loop() {
		m.tick(demand...)
	}
}
