// Package schema converts between the messages of the operator API and the types of the
// replicated state, and encodes snapshot documents. Lists that are converted from maps
// are ordered by key, so that equal states convert to equal messages.
package schema

import (
	"cmp"
	"maps"
	"slices"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
	"github.com/samphirefork/samphirefork/internal/fleet"
)

// FromConfig converts a configuration to the schema. The hashes of the keys are omitted.
func FromConfig(c fleet.Config) *samphireforkv1.Config {
	return &samphireforkv1.Config{
		Revision:    uint64(c.Revision),
		DataCentres: fromMap(c.DataCentres, fromDataCentre),
		Instances:   fromMap(c.Instances, fromInstance),
		Pools:       fromMap(c.Pools, fromPool),
		Teams:       fromMap(c.Teams, fromTeam),
		Queues:      fromMap(c.Queues, fromQueue),
		Services:    fromMap(c.Services, fromService),
		Keys:        fromMap(c.Keys, fromKey),
	}
}

// ToConfig converts a configuration from the schema. The keys in the result have no
// hash, since the schema does not contain it.
func ToConfig(c *samphireforkv1.Config) fleet.Config {
	out := fleet.NewState().Config
	out.Revision = fleet.Revision(c.GetRevision())
	for _, v := range c.GetDataCentres() {
		out.DataCentres[v.GetName()] = toDataCentre(v)
	}
	for _, v := range c.GetInstances() {
		out.Instances[v.GetName()] = toInstance(v)
	}
	for _, v := range c.GetPools() {
		out.Pools[v.GetName()] = toPool(v)
	}
	for _, v := range c.GetTeams() {
		out.Teams[v.GetName()] = toTeam(v)
	}
	for _, v := range c.GetQueues() {
		out.Queues[v.GetName()] = toQueue(v)
	}
	for _, v := range c.GetServices() {
		out.Services[v.GetName()] = toService(v)
	}
	for _, v := range c.GetKeys() {
		out.Keys[v.GetId()] = fleet.Key{ID: v.GetId(), Team: v.GetTeam(), Withdrawn: v.GetWithdrawn()}
	}
	return out
}

// fromMap converts the values of m, ordered by key.
func fromMap[K cmp.Ordered, V, T any](m map[K]V, convert func(V) T) []T {
	out := make([]T, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, convert(m[k]))
	}
	return out
}

func fromSlice[V, T any](s []V, convert func(V) T) []T {
	out := make([]T, 0, len(s))
	for _, v := range s {
		out = append(out, convert(v))
	}
	return out
}

func fromDataCentre(v fleet.DataCentre) *samphireforkv1.DataCentre {
	return &samphireforkv1.DataCentre{Name: v.Name, Region: v.Region}
}

func toDataCentre(v *samphireforkv1.DataCentre) fleet.DataCentre {
	return fleet.DataCentre{Name: v.GetName(), Region: v.GetRegion()}
}

func fromInstance(v fleet.Instance) *samphireforkv1.Instance {
	return &samphireforkv1.Instance{Name: v.Name, Pool: v.Pool, DataCentre: v.DataCentre, Rack: v.Rack, Role: string(v.Kind)}
}

func toInstance(v *samphireforkv1.Instance) fleet.Instance {
	return fleet.Instance{
		Name:       v.GetName(),
		Pool:       v.GetPool(),
		DataCentre: v.GetDataCentre(),
		Rack:       v.GetRack(),
		Kind:       fleet.InstanceKind(v.GetRole()),
	}
}

func fromPool(v fleet.Pool) *samphireforkv1.Pool {
	return &samphireforkv1.Pool{
		Name:                        v.Name,
		MaxUnavailable:              int64(v.MaxUnavailable),
		MaxUnavailablePerRack:       int64(v.MaxUnavailablePerRack),
		MaxUnavailablePerDataCentre: int64(v.MaxUnavailablePerDataCentre),
		Spare:                       v.Spare,
	}
}

func toPool(v *samphireforkv1.Pool) fleet.Pool {
	return fleet.Pool{
		Name:                        v.GetName(),
		MaxUnavailable:              int(v.GetMaxUnavailable()),
		MaxUnavailablePerRack:       int(v.GetMaxUnavailablePerRack()),
		MaxUnavailablePerDataCentre: int(v.GetMaxUnavailablePerDataCentre()),
		Spare:                       v.GetSpare(),
	}
}

func fromTeam(v fleet.Team) *samphireforkv1.Team {
	return &samphireforkv1.Team{Name: v.Name, Share: int64(v.Share), Limit: int64(v.Limit)}
}

func toTeam(v *samphireforkv1.Team) fleet.Team {
	return fleet.Team{Name: v.GetName(), Share: int(v.GetShare()), Limit: int(v.GetLimit())}
}

func fromQueue(v fleet.Queue) *samphireforkv1.Queue {
	return &samphireforkv1.Queue{
		Name:             v.Name,
		Pool:             v.Pool,
		Open:             v.Open,
		Class:            string(v.Class),
		MaxQueuedPerTeam: int64(v.MaxQueuedPerTeam),
		OnPartition:      string(v.OnPartition),
	}
}

// toQueue converts a queue. An empty partition policy becomes the default, "stop".
func toQueue(v *samphireforkv1.Queue) fleet.Queue {
	return fleet.Queue{
		Name:             v.GetName(),
		Pool:             v.GetPool(),
		Open:             v.GetOpen(),
		Class:            fleet.JobClass(v.GetClass()),
		MaxQueuedPerTeam: int(v.GetMaxQueuedPerTeam()),
		OnPartition:      cmp.Or(fleet.PartitionPolicy(v.GetOnPartition()), fleet.PartitionStop),
	}
}

func fromService(v fleet.Service) *samphireforkv1.Service {
	return &samphireforkv1.Service{Name: v.Name, Pool: v.Pool, Open: v.Open, TimeoutMs: v.TimeoutMS}
}

func toService(v *samphireforkv1.Service) fleet.Service {
	return fleet.Service{Name: v.GetName(), Pool: v.GetPool(), Open: v.GetOpen(), TimeoutMS: v.GetTimeoutMs()}
}

func fromKey(v fleet.Key) *samphireforkv1.Key {
	return &samphireforkv1.Key{Id: v.ID, Team: v.Team, Withdrawn: v.Withdrawn}
}
