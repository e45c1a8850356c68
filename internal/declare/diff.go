package declare

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

// Diff returns the change items that turn current into desired. They are ordered so
// that no reference dangles after any item: referenced entities are put before the
// entities that refer to them, and deletes come last, in the opposite order. Keys are
// not compared. The result is deterministic.
func Diff(current, desired fleet.Config) []fleet.ChangeItem {
	var out []fleet.ChangeItem
	out = append(out, puts(current.DataCentres, desired.DataCentres, identity)...)
	out = append(out, puts(current.Pools, desired.Pools, identity)...)
	out = append(out, puts(current.Teams, desired.Teams, identity)...)
	out = append(out, puts(current.Instances, desired.Instances, identity)...)
	out = append(out, puts(current.Queues, desired.Queues, normalizeQueue)...)
	out = append(out, puts(current.Services, desired.Services, identity)...)
	out = append(out, deletes(fleet.EntityService, current.Services, desired.Services)...)
	out = append(out, deletes(fleet.EntityQueue, current.Queues, desired.Queues)...)
	out = append(out, deletes(fleet.EntityInstance, current.Instances, desired.Instances)...)
	out = append(out, deletes(fleet.EntityTeam, current.Teams, desired.Teams)...)
	out = append(out, deletes(fleet.EntityPool, current.Pools, desired.Pools)...)
	out = append(out, deletes(fleet.EntityDataCentre, current.DataCentres, desired.DataCentres)...)
	return out
}

// KeepPools returns desired with each instance that exists in current in its current
// pool, provided that desired declares this pool. It keeps an unrelated change from
// undoing moves between pools that the system has made.
func KeepPools(current, desired fleet.Config) fleet.Config {
	kept := make(map[string]fleet.Instance, len(desired.Instances))
	for name, inst := range desired.Instances {
		existing, present := current.Instances[name]
		if _, declared := desired.Pools[existing.Pool]; present && declared {
			inst.Pool = existing.Pool
		}
		kept[name] = inst
	}
	desired.Instances = kept
	return desired
}

func identity[V any](v V) V { return v }

// normalizeQueue replaces an empty partition policy with the default, so that the two
// compare as equal.
func normalizeQueue(q fleet.Queue) fleet.Queue {
	if q.OnPartition == "" {
		q.OnPartition = fleet.PartitionStop
	}
	return q
}

func puts[V comparable](current, desired map[string]V, normalize func(V) V) []fleet.ChangeItem {
	var out []fleet.ChangeItem
	for _, name := range slices.Sorted(maps.Keys(desired)) {
		want := normalize(desired[name])
		if existing, ok := current[name]; !ok || normalize(existing) != want {
			out = append(out, putItem(want))
		}
	}
	return out
}

func deletes[V any](kind fleet.EntityKind, current, desired map[string]V) []fleet.ChangeItem {
	var out []fleet.ChangeItem
	for _, name := range slices.Sorted(maps.Keys(current)) {
		if _, ok := desired[name]; !ok {
			out = append(out, fleet.ChangeItem{Delete: &fleet.EntityRef{Kind: kind, Name: name}})
		}
	}
	return out
}

func putItem(v any) fleet.ChangeItem {
	switch v := v.(type) {
	case fleet.DataCentre:
		return fleet.ChangeItem{PutDataCentre: &v}
	case fleet.Instance:
		return fleet.ChangeItem{PutInstance: &v}
	case fleet.Pool:
		return fleet.ChangeItem{PutPool: &v}
	case fleet.Team:
		return fleet.ChangeItem{PutTeam: &v}
	case fleet.Queue:
		return fleet.ChangeItem{PutQueue: &v}
	case fleet.Service:
		return fleet.ChangeItem{PutService: &v}
	}
	return fleet.ChangeItem{}
}

// Describe returns a one-line summary of the effect of an item on current: "+ kind
// name" for a new entity, "~ kind name: field old -> new, ..." for a changed one and
// "- kind name" for a deleted one. Any other item is "? unknown item".
func Describe(current fleet.Config, it fleet.ChangeItem) string {
	switch {
	case it.PutDataCentre != nil:
		return describePut(fleet.EntityDataCentre, current.DataCentres, it.PutDataCentre.Name, *it.PutDataCentre)
	case it.PutInstance != nil:
		return describePut(fleet.EntityInstance, current.Instances, it.PutInstance.Name, *it.PutInstance)
	case it.PutPool != nil:
		return describePut(fleet.EntityPool, current.Pools, it.PutPool.Name, *it.PutPool)
	case it.PutTeam != nil:
		return describePut(fleet.EntityTeam, current.Teams, it.PutTeam.Name, *it.PutTeam)
	case it.PutQueue != nil:
		return describePut(fleet.EntityQueue, current.Queues, it.PutQueue.Name, *it.PutQueue)
	case it.PutService != nil:
		return describePut(fleet.EntityService, current.Services, it.PutService.Name, *it.PutService)
	case it.Delete != nil:
		return fmt.Sprintf("- %s %s", it.Delete.Kind, it.Delete.Name)
	}
	return "? unknown item"
}

func describePut[V any](kind fleet.EntityKind, current map[string]V, name string, want V) string {
	existing, ok := current[name]
	if !ok {
		return fmt.Sprintf("+ %s %s", kind, name)
	}
	return fmt.Sprintf("~ %s %s: %s", kind, name, strings.Join(changedFields(reflect.ValueOf(existing), reflect.ValueOf(want)), ", "))
}

// changedFields returns "field old -> new" for each field that differs, ordered by
// field name.
func changedFields(existing, want reflect.Value) []string {
	var out []string
	for name, spec := range fieldSpecs(existing.Type()) {
		a, b := existing.Field(spec.index).Interface(), want.Field(spec.index).Interface()
		if a != b {
			out = append(out, fmt.Sprintf("%s %v -> %v", name, a, b))
		}
	}
	slices.SortFunc(out, cmp.Compare[string])
	return out
}
