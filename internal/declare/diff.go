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

// Diff returns the items that lead from current to desired, in an order in which
// references hold after each item: puts of referenced entities first, deletes
// last. Keys are left alone. Equal inputs give equal items.
func Diff(current, desired fleet.Config) []fleet.ChangeItem {
	var out []fleet.ChangeItem
	out = append(out, puts(current.DataCentres, desired.DataCentres, same)...)
	out = append(out, puts(current.Pools, desired.Pools, same)...)
	out = append(out, puts(current.Teams, desired.Teams, same)...)
	out = append(out, puts(current.Instances, desired.Instances, same)...)
	out = append(out, puts(current.Queues, desired.Queues, normalQueue)...)
	out = append(out, puts(current.Services, desired.Services, same)...)
	out = append(out, deletes(fleet.EntityService, current.Services, desired.Services)...)
	out = append(out, deletes(fleet.EntityQueue, current.Queues, desired.Queues)...)
	out = append(out, deletes(fleet.EntityInstance, current.Instances, desired.Instances)...)
	out = append(out, deletes(fleet.EntityTeam, current.Teams, desired.Teams)...)
	out = append(out, deletes(fleet.EntityPool, current.Pools, desired.Pools)...)
	out = append(out, deletes(fleet.EntityDataCentre, current.DataCentres, desired.DataCentres)...)
	return out
}

// KeepPools returns desired with each present instance in its present pool, as
// long as that pool stays declared. It keeps the moves that the system made
// between pools from being undone by an unrelated change.
func KeepPools(current, desired fleet.Config) fleet.Config {
	kept := make(map[string]fleet.Instance, len(desired.Instances))
	for name, inst := range desired.Instances {
		now, present := current.Instances[name]
		if _, declared := desired.Pools[now.Pool]; present && declared {
			inst.Pool = now.Pool
		}
		kept[name] = inst
	}
	desired.Instances = kept
	return desired
}

func same[V any](v V) V { return v }

// normalQueue replaces the empty partition policy by its default.
func normalQueue(q fleet.Queue) fleet.Queue {
	if q.OnPartition == "" {
		q.OnPartition = fleet.PartitionStop
	}
	return q
}

func puts[V comparable](current, desired map[string]V, normal func(V) V) []fleet.ChangeItem {
	var out []fleet.ChangeItem
	for _, name := range slices.Sorted(maps.Keys(desired)) {
		want := normal(desired[name])
		if now, ok := current[name]; !ok || normal(now) != want {
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

// Describe returns one line about an item: "+" for a new entity, "~" for a
// changed one with its changed fields, "-" for a deleted one.
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
	now, ok := current[name]
	if !ok {
		return fmt.Sprintf("+ %s %s", kind, name)
	}
	return fmt.Sprintf("~ %s %s: %s", kind, name, strings.Join(changes(reflect.ValueOf(now), reflect.ValueOf(want)), ", "))
}

// changes lists the fields that differ, in order of their names.
func changes(now, want reflect.Value) []string {
	var out []string
	for name, col := range columnsOf(now.Type()) {
		a, b := now.Field(col.index).Interface(), want.Field(col.index).Interface()
		if a != b {
			out = append(out, fmt.Sprintf("%s %v -> %v", name, a, b))
		}
	}
	slices.SortFunc(out, cmp.Compare[string])
	return out
}
