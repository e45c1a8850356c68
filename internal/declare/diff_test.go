package declare

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

// drawConfig draws a configuration without dangling references. label makes the draws of
// two configurations distinguishable.
func drawConfig(t *rapid.T, label string) fleet.Config {
	c := fleet.NewState().Config
	pick := func(prefix string, n int) string {
		return fmt.Sprintf("%s%d", prefix, rapid.IntRange(0, n-1).Draw(t, label+prefix))
	}
	for range rapid.IntRange(1, 3).Draw(t, label+"dcs") {
		dc := fleet.DataCentre{Name: pick("dc", 3), Region: pick("r", 2)}
		c.DataCentres[dc.Name] = dc
	}
	for range rapid.IntRange(1, 3).Draw(t, label+"pools") {
		p := fleet.Pool{Name: pick("pool", 4), MaxUnavailable: rapid.IntRange(0, 2).Draw(t, label+"budget")}
		c.Pools[p.Name] = p
	}
	pools := rapid.SampledFrom(presentNames(c.Pools))
	dcs := rapid.SampledFrom(presentNames(c.DataCentres))
	for range rapid.IntRange(0, 4).Draw(t, label+"others") {
		in := fleet.Instance{Name: pick("i", 5), Pool: pools.Draw(t, label+"p"), DataCentre: dcs.Draw(t, label+"d"), Kind: fleet.KindWorker}
		c.Instances[in.Name] = in
		q := fleet.Queue{Name: pick("q", 3), Pool: pools.Draw(t, label+"p"), OnPartition: rapid.SampledFrom([]fleet.PartitionPolicy{"", fleet.PartitionStop, fleet.PartitionKeep}).Draw(t, label+"on")}
		c.Queues[q.Name] = q
		s := fleet.Service{Name: pick("s", 3), Pool: pools.Draw(t, label+"p"), TimeoutMS: 1}
		c.Services[s.Name] = s
		team := fleet.Team{Name: pick("t", 3), Share: 1, Limit: rapid.IntRange(0, 2).Draw(t, label+"limit")}
		c.Teams[team.Name] = team
	}
	return c
}

// presentNames returns the generated names of pools or data centres that are in m, in a
// fixed order.
func presentNames[V any](m map[string]V) []string {
	var out []string
	for i := range 9 {
		for _, prefix := range []string{"dc", "pool"} {
			if name := fmt.Sprintf("%s%d", prefix, i); has(m, name) {
				out = append(out, name)
			}
		}
	}
	return out
}

func has[V any](m map[string]V, name string) bool {
	_, ok := m[name]
	return ok
}

// applyItem is a simplified model of how the state machine applies an item.
func applyItem(c *fleet.Config, it fleet.ChangeItem) {
	putEntity(c, it)
	if it.Delete == nil {
		return
	}
	name := it.Delete.Name
	switch it.Delete.Kind {
	case fleet.EntityDataCentre:
		delete(c.DataCentres, name)
	case fleet.EntityInstance:
		delete(c.Instances, name)
	case fleet.EntityPool:
		delete(c.Pools, name)
	case fleet.EntityTeam:
		delete(c.Teams, name)
	case fleet.EntityQueue:
		delete(c.Queues, name)
	case fleet.EntityService:
		delete(c.Services, name)
	}
}

func referencesHold(c fleet.Config) bool {
	for _, in := range c.Instances {
		if !has(c.Pools, in.Pool) || !has(c.DataCentres, in.DataCentre) {
			return false
		}
	}
	for _, q := range c.Queues {
		if !has(c.Pools, q.Pool) {
			return false
		}
	}
	for _, s := range c.Services {
		if !has(c.Pools, s.Pool) {
			return false
		}
	}
	return true
}

// The items of a diff must lead to the desired configuration and be the same in each run.
// No item may leave a reference to an entity that does not exist yet or no longer exists,
// since the state machine would then refuse the change.
func TestDiffReachesDesiredWithReferencesHolding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current, desired := drawConfig(t, "current "), drawConfig(t, "desired ")
		items := Diff(current, desired)
		require.Equal(t, items, Diff(current, desired))
		for _, it := range items {
			require.NotEqual(t, "? unknown item", Describe(current, it))
			applyItem(&current, it)
			require.True(t, referencesHold(current), "after %+v", it)
		}
		require.Empty(t, Diff(current, desired))
	})
}

// Diff must not delete keys. After KeepPools it must not undo moves between pools.
func TestDiffLeavesKeysAndKeptPools(t *testing.T) {
	current, desired := fleet.NewState().Config, fleet.NewState().Config
	current.Keys["k"] = fleet.Key{ID: "k", Team: "t"}
	for _, c := range []fleet.Config{current, desired} {
		c.DataCentres["dc1"] = fleet.DataCentre{Name: "dc1"}
		c.Pools["a"], c.Pools["spare"] = fleet.Pool{Name: "a"}, fleet.Pool{Name: "spare"}
	}
	current.Instances["i"] = fleet.Instance{Name: "i", Pool: "a", DataCentre: "dc1"}
	desired.Instances["i"] = fleet.Instance{Name: "i", Pool: "spare", DataCentre: "dc1"}

	items := Diff(current, desired)
	require.Len(t, items, 1)
	require.Equal(t, "~ instance i: pool a -> spare", Describe(current, items[0]))
	require.Empty(t, Diff(current, KeepPools(current, desired)))
}
