package declare

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

// entity is a decoded object with its place in the files.
type entity struct {
	object object
	ref    fleet.EntityRef
	item   fleet.ChangeItem
}

func (e entity) fault(name, reason string) *Error {
	return e.object.fault(name, reason)
}

// fault reports at the line of the named field, or of the object without it.
func (o object) fault(name, reason string) *Error {
	line := o.line
	if f, ok := o.lookup(name); ok {
		line = f.line
	}
	return &Error{File: o.file, Line: line, Field: name, Reason: reason}
}

// newItem returns an empty put of a kind and a pointer to its entity.
func newItem(kind fleet.EntityKind) (fleet.ChangeItem, any) {
	var it fleet.ChangeItem
	switch kind {
	case fleet.EntityDataCentre:
		it.PutDataCentre = &fleet.DataCentre{}
		return it, it.PutDataCentre
	case fleet.EntityInstance:
		it.PutInstance = &fleet.Instance{}
		return it, it.PutInstance
	case fleet.EntityPool:
		it.PutPool = &fleet.Pool{}
		return it, it.PutPool
	case fleet.EntityTeam:
		it.PutTeam = &fleet.Team{}
		return it, it.PutTeam
	case fleet.EntityQueue:
		it.PutQueue = &fleet.Queue{OnPartition: fleet.PartitionStop}
		return it, it.PutQueue
	case fleet.EntityService:
		it.PutService = &fleet.Service{}
		return it, it.PutService
	}
	return it, nil
}

// decodeEntity decodes an object by its kind. The entity has a name only when
// kind and name could be read.
func decodeEntity(o object) (entity, Errors) {
	e := entity{object: o}
	kind, fault := o.stringField("kind")
	if fault != nil {
		return e, Errors{fault}
	}
	item, target := newItem(fleet.EntityKind(kind))
	if target == nil {
		return e, Errors{o.fault("kind", fmt.Sprintf("unknown kind %q; expected data_centre, instance, pool, team, queue or service", kind))}
	}
	e.item = item
	faults := fill(o, reflect.ValueOf(target).Elem())
	if name, fault := o.stringField("name"); fault == nil {
		e.ref = fleet.EntityRef{Kind: fleet.EntityKind(kind), Name: name}
	}
	for _, v := range CheckItem(item) {
		if !slices.ContainsFunc(faults, func(f *Error) bool { return f.Field == v.Field }) {
			faults = append(faults, o.fault(v.Field, v.Reason))
		}
	}
	return e, faults
}

func (o object) stringField(name string) (string, *Error) {
	f, ok := o.lookup(name)
	if !ok {
		return "", o.fault(name, "field is missing")
	}
	var s string
	if f.value[0] != '"' || json.Unmarshal(f.value, &s) != nil {
		return "", o.fault(name, "expected a string, found "+excerpt(f.value))
	}
	return s, nil
}

// column describes one field of a declared kind.
type column struct {
	index    int
	required bool
}

// columnsOf maps the field names of a kind, as declarations write them, to the
// fields of its Go type. The field without omitempty must be given.
func columnsOf(t reflect.Type) map[string]column {
	cols := map[string]column{}
	for i := range t.NumField() {
		name, opts, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if t == reflect.TypeFor[fleet.Instance]() && name == "kind" {
			name = "role"
		}
		cols[name] = column{index: i, required: opts != "omitempty"}
	}
	return cols
}

// fill sets the fields of v from the object.
func fill(o object, v reflect.Value) Errors {
	var faults Errors
	cols := columnsOf(v.Type())
	for _, f := range o.fields {
		if f.name == "kind" {
			continue
		}
		col, ok := cols[f.name]
		if !ok {
			known := slices.Sorted(maps.Keys(cols))
			faults = append(faults, o.fault(f.name, "unknown field; known fields: "+strings.Join(known, ", ")))
			continue
		}
		target := v.Field(col.index)
		if string(f.value) == "null" || json.Unmarshal(f.value, target.Addr().Interface()) != nil {
			faults = append(faults, o.fault(f.name, "expected "+expected(target.Kind())+", found "+excerpt(f.value)))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(cols)) {
		if _, given := o.lookup(name); cols[name].required && !given {
			faults = append(faults, o.fault(name, "field is missing"))
		}
	}
	return faults
}

func expected(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	default:
		return "a whole number"
	}
}

// excerpt shortens a value for an error message.
func excerpt(raw json.RawMessage) string {
	const longest = 40
	if len(raw) > longest {
		return strings.ToValidUTF8(string(raw[:longest]), "?") + "..."
	}
	return string(raw)
}

// put stores the entity of a put item in the configuration.
func put(c *fleet.Config, it fleet.ChangeItem) {
	switch {
	case it.PutDataCentre != nil:
		c.DataCentres[it.PutDataCentre.Name] = *it.PutDataCentre
	case it.PutInstance != nil:
		c.Instances[it.PutInstance.Name] = *it.PutInstance
	case it.PutPool != nil:
		c.Pools[it.PutPool.Name] = *it.PutPool
	case it.PutTeam != nil:
		c.Teams[it.PutTeam.Name] = *it.PutTeam
	case it.PutQueue != nil:
		c.Queues[it.PutQueue.Name] = *it.PutQueue
	case it.PutService != nil:
		c.Services[it.PutService.Name] = *it.PutService
	}
}
