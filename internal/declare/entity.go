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

// entity is a decoded declaration.
type entity struct {
	// object is the JSON object with its position in the files.
	object object
	ref    fleet.EntityRef
	// item puts the entity.
	item fleet.ChangeItem
}

func (e entity) errorAt(name, reason string) *Error {
	return e.object.errorAt(name, reason)
}

// errorAt returns an error at the line of the named field, or at the line of the
// object when it has no such field.
func (o object) errorAt(name, reason string) *Error {
	line := o.line
	if f, ok := o.lookup(name); ok {
		line = f.line
	}
	return &Error{File: o.file, Line: line, Field: name, Reason: reason}
}

// newItem returns a put item with an empty entity of the kind, and a pointer to this
// entity. The pointer is nil for an unknown kind.
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

// decodeEntity decodes an object according to its kind. ref is set only when the kind
// is known and the name is a string.
func decodeEntity(o object) (entity, Errors) {
	e := entity{object: o}
	kind, kindErr := o.stringField("kind")
	if kindErr != nil {
		return e, Errors{kindErr}
	}
	item, target := newItem(fleet.EntityKind(kind))
	if target == nil {
		return e, Errors{o.errorAt("kind", fmt.Sprintf("unknown kind %q; expected data_centre, instance, pool, team, queue or service", kind))}
	}
	e.item = item
	errs := decodeFields(o, reflect.ValueOf(target).Elem())
	if name, nameErr := o.stringField("name"); nameErr == nil {
		e.ref = fleet.EntityRef{Kind: fleet.EntityKind(kind), Name: name}
	}
	for _, v := range CheckItem(item) {
		if !slices.ContainsFunc(errs, func(f *Error) bool { return f.Field == v.Field }) {
			errs = append(errs, o.errorAt(v.Field, v.Reason))
		}
	}
	return e, errs
}

func (o object) stringField(name string) (string, *Error) {
	f, ok := o.lookup(name)
	if !ok {
		return "", o.errorAt(name, "field is missing")
	}
	var s string
	if f.value[0] != '"' || json.Unmarshal(f.value, &s) != nil {
		return "", o.errorAt(name, "expected a string, found "+excerpt(f.value))
	}
	return s, nil
}

// fieldSpec describes one field of a declared kind. index is the index of the field in
// the Go type.
type fieldSpec struct {
	index    int
	required bool
}

// fieldSpecs maps the field names that declarations use to the fields of the Go type
// t. Fields whose JSON tag has no omitempty option are required. The Kind field of
// fleet.Instance is declared as "role", because "kind" is the kind of the entity.
func fieldSpecs(t reflect.Type) map[string]fieldSpec {
	specs := map[string]fieldSpec{}
	for i := range t.NumField() {
		name, opts, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if t == reflect.TypeFor[fleet.Instance]() && name == "kind" {
			name = "role"
		}
		specs[name] = fieldSpec{index: i, required: opts != "omitempty"}
	}
	return specs
}

// decodeFields decodes the fields of the object into the struct v.
func decodeFields(o object, v reflect.Value) Errors {
	var errs Errors
	specs := fieldSpecs(v.Type())
	for _, f := range o.fields {
		if f.name == "kind" {
			continue
		}
		spec, ok := specs[f.name]
		if !ok {
			known := slices.Sorted(maps.Keys(specs))
			errs = append(errs, o.errorAt(f.name, "unknown field; known fields: "+strings.Join(known, ", ")))
			continue
		}
		target := v.Field(spec.index)
		if string(f.value) == "null" || json.Unmarshal(f.value, target.Addr().Interface()) != nil {
			errs = append(errs, o.errorAt(f.name, "expected "+typeName(target.Kind())+", found "+excerpt(f.value)))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(specs)) {
		if _, given := o.lookup(name); specs[name].required && !given {
			errs = append(errs, o.errorAt(name, "field is missing"))
		}
	}
	return errs
}

func typeName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	default:
		return "a whole number"
	}
}

// excerpt truncates a JSON value for an error message.
func excerpt(raw json.RawMessage) string {
	const maxBytes = 40
	if len(raw) > maxBytes {
		return strings.ToValidUTF8(string(raw[:maxBytes]), "?") + "..."
	}
	return string(raw)
}

// putEntity stores the entity of a put item in the configuration.
func putEntity(c *fleet.Config, it fleet.ChangeItem) {
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
