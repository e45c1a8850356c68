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

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func announcement(name string, slots int, seq uint64) wire.BackendInfo {
	return wire.BackendInfo{Instance: name, Incarnation: "1", Service: "s", Slots: slots, Connections: 64, Sequence: seq}
}

// settled returns a registry after its first transition with backend servers of 8
// slots, and the time at which it is valid.
func settled(names ...string) (*Registry, time.Time) {
	now := start.Add(SplitTransition)
	r := NewRegistry(start, "e1", newRand())
	for _, name := range names {
		r.Announce(now, announcement(name, 8, 1))
	}
	return r, now
}

// The portions of all entries must add up to the slots of the backend server.
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
			sum += newSplit(self, live).portion(total, name)
		}
		require.Equal(t, total, sum)
	})
}

// The entries together must never use more slots than there are while entries start
// and stop. Each entry learns of the changes in order, each within SplitTransition.
func TestSplitNeverExceedsSlots(t *testing.T) {
	type notice struct {
		at   time.Time
		live []string
	}
	rapid.Check(t, func(t *rapid.T) {
		live := []string{"e0"}
		registries := map[string]*Registry{"e0": NewRegistry(start, "e0", newRand())}
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
					registries[name] = NewRegistry(now, name, newRand())
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
				r.backends["b"] = &backend{info: announcement("b", 8, 1), receivedAt: now}
				total, _ := r.Capacity(now, "s")
				sum += total
			}
			require.LessOrEqual(t, sum, 8)
		}
	})
}

// Announcements that arrive out of order must be ignored, and a backend server that is
// leaving, expired or restarted must get no calls for its old registration.
func TestAnnounce(t *testing.T) {
	r, now := settled("b1")
	usable := func(at time.Time) bool {
		total, _ := r.Capacity(at, "s")
		return total > 0
	}
	require.False(t, usable(now.Add(Lease)))
	require.False(t, r.Announce(now.Add(time.Second), announcement("b1", 8, 1)), "a repeated sequence extends nothing")
	require.True(t, r.Announce(now.Add(time.Second), announcement("b1", 8, 3)))
	require.True(t, usable(now.Add(Lease)))

	leaving := announcement("b1", 8, 5)
	leaving.Leaving = true
	require.True(t, r.Announce(now.Add(2*time.Second), leaving))
	require.False(t, r.Announce(now.Add(2*time.Second), announcement("b1", 8, 4)))
	require.False(t, usable(now.Add(2*time.Second)))

	next := announcement("b1", 8, 1)
	next.Incarnation = "2"
	next.AgeMS = 1500
	require.False(t, r.Announce(now.Add(3*time.Second), next), "heard before the present incarnation")
	next.AgeMS = 0
	require.True(t, r.Announce(now.Add(3*time.Second), next))
	slot, ok := r.Pick(now.Add(3*time.Second), "s", nil)
	require.True(t, ok)
	require.True(t, r.SlotValid(now.Add(3*time.Second), slot))
	require.False(t, r.Announce(now.Add(4*time.Second), announcement("b1", 8, 9)), "a replaced incarnation stays replaced")
	require.False(t, r.SlotValid(now.Add(7*time.Second), slot))
}

// A failing backend server must be ejected and later probed, and failures of all
// backend servers of a service must not eject more than a third of them.
func TestEjection(t *testing.T) {
	r, now := settled("b1", "b2", "b3", "b4", "b5", "b6")
	failAll := func(now time.Time, bad map[string]bool) {
		for range 200 {
			slot, ok := r.Pick(now, "s", nil)
			require.True(t, ok)
			outcome := Succeeded
			if bad[slot.Instance] {
				outcome = Failed
			}
			r.Release(now, slot, outcome)
		}
	}
	failAll(now, map[string]bool{"b1": true})
	for range 100 {
		slot, ok := r.Pick(now, "s", nil)
		require.True(t, ok)
		require.NotEqual(t, "b1", slot.Instance)
		r.Release(now, slot, Succeeded)
	}
	all := map[string]bool{"b1": true, "b2": true, "b3": true, "b4": true, "b5": true, "b6": true}
	failAll(now, all)
	total, _ := r.Capacity(now, "s")
	require.Equal(t, 4*8, total)

	later := now.Add(initialEjection)
	for _, name := range []string{"b1", "b2", "b3", "b4", "b5", "b6"} {
		r.Announce(later, announcement(name, 8, 2))
	}
	probe, ok := r.Pick(later, "s", nil)
	require.True(t, ok)
	require.True(t, probe.Probe)
	r.Release(later, probe, Succeeded)
	total, _ = r.Capacity(later, "s")
	require.Equal(t, 5*8, total)
}

// An entry must not run more calls on a backend server than its portion of the slots.
func TestPickWithinLimit(t *testing.T) {
	r, now := settled("b1", "b2")
	r.SetEntries(now, []string{"e1", "e2", "e3"})
	counts := map[string]int{}
	for {
		slot, ok := r.Pick(now, "s", nil)
		if !ok {
			break
		}
		counts[slot.Instance]++
	}
	for name, n := range counts {
		require.Equal(t, newSplit("e1", []string{"e2", "e3"}).portion(8, name), n)
	}
}

// A backend server that an operator drains must get no new calls while it still
// announces itself as available.
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

// Evacuated backend servers must get neither calls nor probes, a slot that was taken before
// must not start a call any more, and the others must take over. Once they are taken back
// they serve again.
func TestEvacuatedBackendsGetNoCalls(t *testing.T) {
	r, now := settled("a", "b")
	taken := map[string]Slot{}
	for len(taken) < 2 {
		slot, ok := r.Pick(now, "s", nil)
		require.True(t, ok)
		taken[slot.Instance] = slot
	}
	r.SetEvacuated(func(instance string) bool { return instance == "a" })
	for {
		slot, ok := r.Pick(now, "s", nil)
		if !ok {
			break
		}
		require.Equal(t, "b", slot.Instance)
	}
	require.False(t, r.SlotValid(now, taken["a"]))
	require.True(t, r.SlotValid(now, taken["b"]))
	require.True(t, r.HasBackend(now, "s"))
	total, _ := r.Capacity(now, "s")
	require.Equal(t, 8, total)
	r.SetEvacuated(func(string) bool { return true })
	require.False(t, r.HasBackend(now, "s"))
	for range ejectThreshold {
		r.Release(now, taken["a"], Failed)
	}
	_, ok := r.Pick(now.Add(2*initialEjection), "s", nil)
	require.False(t, ok, "an evacuated backend server was probed")
	r.SetEvacuated(func(string) bool { return false })
	slot, ok := r.Pick(now.Add(2*initialEjection), "s", nil)
	require.True(t, ok)
	require.True(t, slot.Probe)
}
