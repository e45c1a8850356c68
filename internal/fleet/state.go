package fleet

import "github.com/samphirefork/samphirefork/internal/workload"

// Config is the declared configuration, of which every entry holds a leased copy.
// The maps of a State's Config are never modified in place: each change replaces
// them, so a reader may keep a copy of the struct.
type Config struct {
	Revision    Revision              `cbor:"1,keyasint" json:"revision"`
	DataCentres map[string]DataCentre `cbor:"2,keyasint" json:"data_centres"`
	Instances   map[string]Instance   `cbor:"3,keyasint" json:"instances"`
	Pools       map[string]Pool       `cbor:"4,keyasint" json:"pools"`
	Teams       map[string]Team       `cbor:"5,keyasint" json:"teams"`
	Keys        map[string]Key        `cbor:"6,keyasint" json:"keys"`
	Queues      map[string]Queue      `cbor:"7,keyasint" json:"queues"`
	Services    map[string]Service    `cbor:"8,keyasint" json:"services"`
	// Evacuations holds the data centres in which no new work starts, by name. It is nil
	// when there are none.
	Evacuations map[string]Evacuation `cbor:"9,keyasint,omitempty" json:"evacuations,omitempty"`
}

// State is the whole replicated state. Only Apply changes it, and only the apply loop
// of a store calls Apply. It does no locking: callers see to it that nothing reads the
// state while Apply runs.
type State struct {
	// Applied is the log index of the last applied command.
	Applied uint64 `cbor:"1,keyasint"`
	// Now is the cluster time of the last applied command; it never decreases.
	Now    Time   `cbor:"2,keyasint"`
	Config Config `cbor:"3,keyasint"`

	Status map[string]InstanceStatus  `cbor:"4,keyasint"`
	Plans  map[string]MaintenancePlan `cbor:"5,keyasint"`
	Jobs   map[string]*Job            `cbor:"6,keyasint"`
	// Grants holds, by entry and team, the units that the entry may use for calls.
	Grants map[string]map[string]int `cbor:"7,keyasint"`
	// Audit is the audit trail: the records of the latest configuration changes, oldest
	// first.
	Audit []AuditRecord `cbor:"8,keyasint"`
	// Answers holds the answers to the latest accepted configuration changes of
	// operators, oldest first.
	Answers []Answer `cbor:"9,keyasint"`

	// InForce is the latest revision that is in force everywhere.
	InForce Revision `cbor:"10,keyasint"`
	// Tombstones mark the identifiers of removed job records as used, oldest first.
	Tombstones []Tombstone `cbor:"11,keyasint"`
	// Workload is the state of the jobs of steps and tasks.
	Workload *workload.State `cbor:"12,keyasint,omitempty"`

	index index
	feed  changeFeed
}

// Answer is the recorded answer to an operator's configuration change. A repeated
// request with the same identifier gets it again.
type Answer struct {
	RequestID   string `cbor:"1,keyasint"`
	Fingerprint uint64 `cbor:"2,keyasint"`
	Result      Result `cbor:"3,keyasint"`
}

// Tombstone marks the identifier of a removed job record as used, until the tombstone
// itself expires.
type Tombstone struct {
	// Hash is the xxhash of the job's identifier.
	Hash uint64 `cbor:"1,keyasint"`
	// Since is the time at which the record was removed.
	Since Time `cbor:"2,keyasint"`
}

// NewState returns an empty state.
func NewState() *State {
	s := &State{}
	s.initMaps()
	s.rebuild()
	return s
}

// initMaps replaces nil maps by empty ones.
func (s *State) initMaps() {
	s.Config.initMaps()
	initMap(&s.Status)
	initMap(&s.Plans)
	initMap(&s.Jobs)
	initMap(&s.Grants)
	if s.Workload == nil {
		s.Workload = workload.NewState()
	}
}

func (c *Config) initMaps() {
	initMap(&c.DataCentres)
	initMap(&c.Instances)
	initMap(&c.Pools)
	initMap(&c.Teams)
	initMap(&c.Keys)
	initMap(&c.Queues)
	initMap(&c.Services)
}

func initMap[K comparable, V any](m *map[K]V) {
	if *m == nil {
		*m = map[K]V{}
	}
}
