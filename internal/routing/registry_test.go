package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirefork/samphirefork/internal/wire"
)

var start = time.Unix(1000, 0)

func source() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func info(name string, slots int, seq uint64) wire.BackendInfo {
	return wire.BackendInfo{Instance: name, Incarnation: "1", Service: "s", Slots: slots, Connections: 64, Sequence: seq}
}

// settled returns a registry past its first hold with backend servers of 8 slots.
func settled(names ...string) (*Registry, time.Time) {
	now := start.Add(SplitHold)
	r := NewRegistry(start, "e1", source())
	for _, name := range names {
		r.Announce(now, info(name, 8, 1))
	}
	return r, now
}

// Guards against entries that together use more or fewer slots than there are.
func TestSplitAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "entries")
		total := rapid.IntRange(0, 70).Draw(t, "slots")
		name := rapid.String().Draw(t, "backend")
		var live []string
		for i := range n {
			live = append(live, fmt.Sprintf("e%02d", i))
		}
		sum := 0
		for _, self := range live {
			sum += newSplit(self, live).part(total, name)
		}
		require.Equal(t, total, sum)
	})
}

// Guards against more calls than slots while entries start and end, each change
// reaching each entry in order and at any time within SplitHold.
func TestSplitNeverExceedsSlots(t *testing.T) {
	type notice struct {
		at   time.Time
		live []string
	}
	rapid.Check(t, func(t *rapid.T) {
		live := []string{"e0"}
		registries := map[string]*Registry{"e0": NewRegistry(start, "e0", source())}
		notices := map[string][]notice{}
		now := start
		for step := range 60 {
			now = now.Add(time.Duration(rapid.IntRange(10, 1500).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 3).Draw(t, "event") == 0 {
				if len(live) > 1 && rapid.Bool().Draw(t, "end") {
					delete(registries, live[0])
					live = append([]string(nil), live[1:]...)
				} else {
					name := fmt.Sprintf("e%d", step+1)
					live = append(append([]string(nil), live...), name)
					registries[name] = NewRegistry(now, name, source())
				}
				for name := range registries {
					queue := notices[name]
					at := now.Add(time.Duration(rapid.IntRange(0, 2999).Draw(t, "delay")) * time.Millisecond)
					if len(queue) > 0 && at.Before(queue[len(queue)-1].at) {
						at = queue[len(queue)-1].at
					}
					notices[name] = append(queue, notice{at, live})
				}
			}
			sum := 0
			for name, r := range registries {
				for len(notices[name]) > 0 && !notices[name][0].at.After(now) {
					r.SetEntries(notices[name][0].at, notices[name][0].live)
					notices[name] = notices[name][1:]
				}
				r.backends["b"] = &backend{info: info("b", 8, 1), heardAt: now}
				total, _ := r.Capacity(now, "s")
				sum += total
			}
			require.LessOrEqual(t, sum, 8)
		}
	})
}

// Guards against announcements that were overtaken, and against work for a
// backend server that has left, expired or restarted.
func TestAnnounce(t *testing.T) {
	r, now := settled("b1")
	usable := func(at time.Time) bool {
		total, _ := r.Capacity(at, "s")
		return total > 0
	}
	require.False(t, usable(now.Add(Lease)))
	require.False(t, r.Announce(now.Add(time.Second), info("b1", 8, 1)), "a repeated sequence extends nothing")
	require.True(t, r.Announce(now.Add(time.Second), info("b1", 8, 3)))
	require.True(t, usable(now.Add(Lease)))

	leaving := info("b1", 8, 5)
	leaving.Leaving = true
	require.True(t, r.Announce(now.Add(2*time.Second), leaving))
	require.False(t, r.Announce(now.Add(2*time.Second), info("b1", 8, 4)))
	require.False(t, usable(now.Add(2*time.Second)))

	next := info("b1", 8, 1)
	next.Incarnation = "2"
	next.AgeMS = 1500
	require.False(t, r.Announce(now.Add(3*time.Second), next), "heard before the present incarnation")
	next.AgeMS = 0
	require.True(t, r.Announce(now.Add(3*time.Second), next))
	lent, ok := r.Pick(now.Add(3*time.Second), "s", nil)
	require.True(t, ok)
	require.True(t, r.SlotValid(now.Add(3*time.Second), lent))
	require.False(t, r.Announce(now.Add(4*time.Second), info("b1", 8, 9)), "a replaced incarnation stays replaced")
	require.False(t, r.SlotValid(now.Add(7*time.Second), lent))
}

// Guards against a failing backend server that keeps getting calls, one that is
// never tried again, and a wave of failures that empties a service.
func TestEjection(t *testing.T) {
	r, now := settled("b1", "b2", "b3", "b4", "b5", "b6")
	failAll := func(now time.Time, bad map[string]bool) {
		for range 200 {
			lent, ok := r.Pick(now, "s", nil)
			require.True(t, ok)
			outcome := Succeeded
			if bad[lent.Instance] {
				outcome = Failed
			}
			r.Release(now, lent, outcome)
		}
	}
	failAll(now, map[string]bool{"b1": true})
	for range 100 {
		lent, ok := r.Pick(now, "s", nil)
		require.True(t, ok)
		require.NotEqual(t, "b1", lent.Instance)
		r.Release(now, lent, Succeeded)
	}
	all := map[string]bool{"b1": true, "b2": true, "b3": true, "b4": true, "b5": true, "b6": true}
	failAll(now, all)
	total, _ := r.Capacity(now, "s")
	require.Equal(t, 4*8, total)

	later := now.Add(firstEject)
	for _, name := range []string{"b1", "b2", "b3", "b4", "b5", "b6"} {
		r.Announce(later, info(name, 8, 2))
	}
	probe, ok := r.Pick(later, "s", nil)
	require.True(t, ok)
	require.True(t, probe.Probe)
	r.Release(later, probe, Succeeded)
	total, _ = r.Capacity(later, "s")
	require.Equal(t, 5*8, total)
}

// Guards against more running calls on a backend server than this entry's part.
func TestPickWithinLimit(t *testing.T) {
	r, now := settled("b1", "b2")
	r.SetEntries(now, []string{"e1", "e2", "e3"})
	counts := map[string]int{}
	for {
		lent, ok := r.Pick(now, "s", nil)
		if !ok {
			break
		}
		counts[lent.Instance]++
	}
	for name, n := range counts {
		require.Equal(t, newSplit("e1", []string{"e2", "e3"}).part(8, name), n)
	}
}

// Guards against new calls to a backend server that an operator drains while it
// still announces itself as available.
func TestDrainingGetsNoCalls(t *testing.T) {
	now := time.Unix(1000, 0)
	r := NewRegistry(now, "e1", rand.New(rand.NewPCG(1, 1)))
	r.Announce(now, wire.BackendInfo{Instance: "b1", Incarnation: "i", Service: "s", Slots: 8, Connections: 64, Sequence: 1})
	b := r.backends["b1"]
	require.True(t, r.usable(b, now))
	r.SetDraining([]string{"b1"})
	require.False(t, r.usable(b, now))
	r.SetDraining(nil)
	require.True(t, r.usable(b, now))
}
