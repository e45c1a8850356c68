package fleet

import "maps"

// maxFeedItems bounds the change feed. An entry that is further behind gets a full copy,
// which is about 100 times the size of a delta in a fleet of the design size.
const maxFeedItems = 4096

// entityKey is the kind of keys in the change feed. Keys are not declared in files.
const entityKey EntityKind = "key"

// ConfigDelta holds the present values of all entities that changed after the revision
// From. Config.WithDelta turns any configuration from From to Revision into the one at
// Revision.
type ConfigDelta struct {
	From        Revision     `cbor:"1,keyasint"`
	Revision    Revision     `cbor:"2,keyasint"`
	DataCentres []DataCentre `cbor:"3,keyasint,omitempty"`
	Instances   []Instance   `cbor:"4,keyasint,omitempty"`
	Pools       []Pool       `cbor:"5,keyasint,omitempty"`
	Teams       []Team       `cbor:"6,keyasint,omitempty"`
	Keys        []Key        `cbor:"7,keyasint,omitempty"`
	Queues      []Queue      `cbor:"8,keyasint,omitempty"`
	Services    []Service    `cbor:"9,keyasint,omitempty"`
	Deleted     []EntityRef  `cbor:"10,keyasint,omitempty"`
	Evacuations []Evacuation `cbor:"11,keyasint,omitempty"`
}

// changeFeed lists the entities that changed, by ascending revision.
type changeFeed struct {
	// oldest is the oldest revision for which ConfigSince can return a delta.
	oldest Revision
	items  []feedItem
}

type feedItem struct {
	revision Revision
	ref      EntityRef
}

// record adds the entities that changed at a revision, and removes the oldest revisions
// while the feed has more than maxFeedItems items. It removes whole revisions, since a
// part of one would give an incomplete delta.
func (f *changeFeed) record(rev Revision, refs []EntityRef) {
	for _, ref := range refs {
		f.items = append(f.items, feedItem{rev, ref})
	}
	drop := 0
	for len(f.items)-drop > maxFeedItems {
		f.oldest = f.items[drop].revision
		for drop < len(f.items) && f.items[drop].revision == f.oldest {
			drop++
		}
	}
	f.items = f.items[drop:]
}

// ConfigSince returns the changes after a revision. It returns false when the change feed
// does not reach back to the revision, or the revision is newer than the configuration;
// a full copy is then needed.
func (s *State) ConfigSince(rev Revision) (*ConfigDelta, bool) {
	if rev < s.feed.oldest || rev > s.Config.Revision {
		return nil, false
	}
	d := &ConfigDelta{From: rev, Revision: s.Config.Revision}
	seen := map[EntityRef]bool{}
	for i := len(s.feed.items) - 1; i >= 0; i-- {
		t := s.feed.items[i]
		if t.revision <= rev {
			break
		}
		if !seen[t.ref] {
			seen[t.ref] = true
			d.add(&s.Config, t.ref)
		}
	}
	return d, true
}

func (d *ConfigDelta) add(c *Config, ref EntityRef) {
	found := false
	switch ref.Kind {
	case EntityDataCentre:
		found = appendValue(&d.DataCentres, c.DataCentres, ref.Name)
	case EntityInstance:
		found = appendValue(&d.Instances, c.Instances, ref.Name)
	case EntityPool:
		found = appendValue(&d.Pools, c.Pools, ref.Name)
	case EntityTeam:
		found = appendValue(&d.Teams, c.Teams, ref.Name)
	case entityKey:
		found = appendValue(&d.Keys, c.Keys, ref.Name)
	case EntityQueue:
		found = appendValue(&d.Queues, c.Queues, ref.Name)
	case EntityService:
		found = appendValue(&d.Services, c.Services, ref.Name)
	case entityEvacuation:
		found = appendValue(&d.Evacuations, c.Evacuations, ref.Name)
	}
	if !found {
		d.Deleted = append(d.Deleted, ref)
	}
}

func appendValue[V any](out *[]V, m map[string]V, name string) bool {
	v, ok := m[name]
	if ok {
		*out = append(*out, v)
	}
	return ok
}

// Clone returns a copy whose maps can be changed independently.
func (c *Config) Clone() *Config {
	return &Config{
		Revision:    c.Revision,
		DataCentres: maps.Clone(c.DataCentres),
		Instances:   maps.Clone(c.Instances),
		Pools:       maps.Clone(c.Pools),
		Teams:       maps.Clone(c.Teams),
		Keys:        maps.Clone(c.Keys),
		Queues:      maps.Clone(c.Queues),
		Services:    maps.Clone(c.Services),
		Evacuations: maps.Clone(c.Evacuations),
	}
}

// WithDelta returns a copy of the configuration with a delta applied. It returns false
// when the delta starts after the revision of the configuration. When the delta has
// nothing newer, it returns the configuration itself.
func (c *Config) WithDelta(d *ConfigDelta) (*Config, bool) {
	if c.Revision < d.From {
		return nil, false
	}
	if c.Revision >= d.Revision {
		return c, true
	}
	n := c.Clone()
	n.initMaps()
	n.Revision = d.Revision
	putAll(n.DataCentres, d.DataCentres, func(v DataCentre) string { return v.Name })
	putAll(n.Instances, d.Instances, func(v Instance) string { return v.Name })
	putAll(n.Pools, d.Pools, func(v Pool) string { return v.Name })
	putAll(n.Teams, d.Teams, func(v Team) string { return v.Name })
	putAll(n.Keys, d.Keys, func(v Key) string { return v.ID })
	putAll(n.Queues, d.Queues, func(v Queue) string { return v.Name })
	putAll(n.Services, d.Services, func(v Service) string { return v.Name })
	for _, e := range d.Evacuations {
		n.putEvacuation(e)
	}
	for _, ref := range d.Deleted {
		n.removeChanged(ref)
	}
	return n, true
}

func putAll[V any](m map[string]V, values []V, name func(V) string) {
	for _, v := range values {
		m[name(v)] = v
	}
}

// removeChanged deletes what a delta names as deleted: a declared entity or an evacuation.
func (c *Config) removeChanged(ref EntityRef) {
	if ref.Kind == entityEvacuation {
		c.removeEvacuation(ref.Name)
		return
	}
	c.remove(ref)
}

// remove deletes a declared entity and reports whether it existed.
func (c *Config) remove(ref EntityRef) bool {
	switch ref.Kind {
	case EntityDataCentre:
		return removeFrom(c.DataCentres, ref.Name)
	case EntityInstance:
		return removeFrom(c.Instances, ref.Name)
	case EntityPool:
		return removeFrom(c.Pools, ref.Name)
	case EntityTeam:
		return removeFrom(c.Teams, ref.Name)
	case EntityQueue:
		return removeFrom(c.Queues, ref.Name)
	case EntityService:
		return removeFrom(c.Services, ref.Name)
	}
	return false
}

func removeFrom[V any](m map[string]V, name string) bool {
	_, ok := m[name]
	delete(m, name)
	return ok
}
