package declare

import (
	"fmt"
	"regexp"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

// maxCount is the upper bound of declared counts. It keeps sums over a fleet from
// overflowing.
const maxCount = 1_000_000

// Names are used in URLs and in request identifiers. The name of a data centre has
// no dot because a request identifier starts with it and a dot ends it.
var (
	namePattern       = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	dataCentrePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)
)

// Violation is an invalid value in one field of a change item.
type Violation struct {
	// Field is the name of the field as declarations write it.
	Field string
	// Reason says what is wrong with the value.
	Reason string
}

// checker collects the violations of one change item.
type checker struct {
	found []Violation
}

func (c *checker) add(field, format string, args ...any) {
	c.found = append(c.found, Violation{Field: field, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) name(field, value string) {
	if !namePattern.MatchString(value) {
		c.add(field, "%q is not a name: 1 to 63 of a-z 0-9 . _ -, beginning with a letter or digit", value)
	}
}

func (c *checker) between(field string, value, low, high int64) {
	if value < low || value > high {
		c.add(field, "%d is not between %d and %d", value, low, high)
	}
}

func (c *checker) oneOf(field, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.add(field, "%q is not one of %q", value, allowed)
}

// CheckItem validates the field values of an item that puts or deletes a declared
// entity and returns all violations. It does not check whether the entities that the
// item refers to exist. An item of any other type has no violations.
func CheckItem(it fleet.ChangeItem) []Violation {
	c := &checker{}
	switch {
	case it.PutDataCentre != nil:
		c.dataCentre(*it.PutDataCentre)
	case it.PutInstance != nil:
		c.instance(*it.PutInstance)
	case it.PutPool != nil:
		c.pool(*it.PutPool)
	case it.PutTeam != nil:
		c.team(*it.PutTeam)
	case it.PutQueue != nil:
		c.queue(*it.PutQueue)
	case it.PutService != nil:
		c.service(*it.PutService)
	case it.Delete != nil:
		c.remove(*it.Delete)
	}
	return c.found
}

func (c *checker) dataCentre(v fleet.DataCentre) {
	if !dataCentrePattern.MatchString(v.Name) {
		c.add("name", "%q is not a data centre name: 1 to 63 of a-z 0-9 _ -, beginning with a letter or digit", v.Name)
	}
}

func (c *checker) instance(v fleet.Instance) {
	c.name("name", v.Name)
	c.name("pool", v.Pool)
	c.name("data_centre", v.DataCentre)
	c.oneOf("role", string(v.Kind), string(fleet.KindWorker), string(fleet.KindBackend))
}

func (c *checker) pool(v fleet.Pool) {
	c.name("name", v.Name)
	c.between("max_unavailable", int64(v.MaxUnavailable), 0, maxCount)
	c.between("max_unavailable_per_rack", int64(v.MaxUnavailablePerRack), 0, maxCount)
	c.between("max_unavailable_per_data_centre", int64(v.MaxUnavailablePerDataCentre), 0, maxCount)
}

func (c *checker) team(v fleet.Team) {
	c.name("name", v.Name)
	c.between("share", int64(v.Share), 1, maxCount)
	c.between("limit", int64(v.Limit), 0, maxCount)
}

func (c *checker) queue(v fleet.Queue) {
	c.name("name", v.Name)
	c.name("pool", v.Pool)
	c.oneOf("class", string(v.Class), string(fleet.ClassNormal), string(fleet.ClassUrgent), string(fleet.ClassWatch))
	c.between("max_queued_per_team", int64(v.MaxQueuedPerTeam), 1, maxCount)
	c.oneOf("on_partition", string(v.OnPartition), string(fleet.PartitionStop), string(fleet.PartitionKeep))
}

func (c *checker) service(v fleet.Service) {
	c.name("name", v.Name)
	c.name("pool", v.Pool)
	c.between("timeout_ms", v.TimeoutMS, 1, fleet.MaxCallTime.Milliseconds())
}

func (c *checker) remove(v fleet.EntityRef) {
	if _, target := newItem(v.Kind); target == nil {
		c.add("kind", "unknown kind %q", v.Kind)
	}
	c.name("name", v.Name)
}

// reference is a field that refers to another entity.
type reference struct {
	field string
	to    fleet.EntityRef
}

func references(it fleet.ChangeItem) []reference {
	switch {
	case it.PutInstance != nil:
		dc := reference{"data_centre", fleet.EntityRef{Kind: fleet.EntityDataCentre, Name: it.PutInstance.DataCentre}}
		return []reference{poolReference(it.PutInstance.Pool), dc}
	case it.PutQueue != nil:
		return []reference{poolReference(it.PutQueue.Pool)}
	case it.PutService != nil:
		return []reference{poolReference(it.PutService.Pool)}
	}
	return nil
}

func poolReference(name string) reference {
	return reference{"pool", fleet.EntityRef{Kind: fleet.EntityPool, Name: name}}
}
