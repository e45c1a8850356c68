// Package slopes measures how the cost of each kind of process grows with the
// size of a fleet, and fits a line to the measurements.
package slopes

import (
	"fmt"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/harness"
)

const (
	workPool  = "work"
	servePool = "serve"
	queueName = "jobs"
	svcName   = "answers"

	teamLimit       = 1000
	maxQueued       = 10000
	workersPerRack  = 4
	serviceTimeout  = 2000
	backendSlots    = 8
	backendConns    = 64
	workerCPUMilli  = 32000
	workerMemoryMiB = 65536
)

// Spec is the size of one fleet and its load.
type Spec struct {
	// Stores is the number of stores in each data centre.
	Stores       []int `json:"stores"`
	EntriesPerDC int   `json:"entries_per_data_centre"`
	Workers      int   `json:"workers"`
	Backends     int   `json:"backend_servers"`
	Teams        int   `json:"teams"`
	// Rates per second. Once counts calls that are not idempotent.
	Changes float64 `json:"changes_per_second,omitempty"`
	Jobs    float64 `json:"jobs_per_second,omitempty"`
	Calls   float64 `json:"calls_per_second,omitempty"`
	Once    float64 `json:"once_calls_per_second,omitempty"`
}

// base is an idle fleet without workers and backend servers.
func base() Spec {
	return Spec{Stores: []int{1, 1, 1}, EntriesPerDC: 1, Teams: 6}
}

// Dimension is one size that varies while the others stay.
type Dimension struct {
	Name  string
	Unit  string
	Sizes []float64
	Spec  func(size float64) Spec
	// Rate is true when the size is a rate, whose achieved value is fitted.
	Rate bool
}

// with returns a specification that is the base with one change.
func with(set func(s *Spec, size float64)) func(float64) Spec {
	return func(size float64) Spec {
		s := base()
		set(&s, size)
		return s
	}
}

// Dimensions returns all dimensions in the order in which they are measured.
func Dimensions() []Dimension {
	return []Dimension{
		{Name: "today", Unit: "backend servers and as many workers, in one data centre", Sizes: []float64{50},
			Spec: with(func(s *Spec, n float64) { s.Workers, s.Backends, s.Stores = int(n), int(n), []int{3} })},
		{Name: "workers", Unit: "worker", Sizes: []float64{0, 50, 100, 200},
			Spec: with(func(s *Spec, n float64) { s.Workers = int(n) })},
		{Name: "backends", Unit: "backend server", Sizes: []float64{0, 50, 100, 200},
			Spec: with(func(s *Spec, n float64) { s.Backends = int(n) })},
		{Name: "teams", Unit: "team, with 60 calls/s spread over all teams", Sizes: []float64{6, 60, 240},
			Spec: with(func(s *Spec, n float64) { s.Teams, s.Backends, s.Calls = int(n), 12, 60 })},
		{Name: "data_centres", Unit: "data centre with one entry and one voter", Sizes: []float64{3, 5, 7},
			Spec: with(func(s *Spec, n float64) { s.Stores = ones(int(n)) })},
		{Name: "entries", Unit: "entry, in 3 data centres", Sizes: []float64{3, 9, 18},
			Spec: with(func(s *Spec, n float64) { s.EntriesPerDC = int(n) / 3 })},
		{Name: "voters", Unit: "voter, in 3 data centres", Sizes: []float64{3, 5, 7},
			Spec: with(func(s *Spec, n float64) { s.Stores = spread(int(n), 3) })},
		{Name: "team_entries", Unit: "entry, with 240 teams and 60 calls/s", Sizes: []float64{3, 9, 18},
			Spec: with(func(s *Spec, n float64) { s.EntriesPerDC, s.Teams, s.Backends, s.Calls = int(n)/3, 240, 12, 60 })},
		{Name: "changes", Unit: "configuration change/s", Sizes: []float64{0, 2, 5, 10}, Rate: true,
			Spec: with(func(s *Spec, n float64) { s.Changes = n })},
		{Name: "jobs", Unit: "job/s, with 24 workers", Sizes: []float64{0, 5, 10, 20}, Rate: true,
			Spec: with(func(s *Spec, n float64) { s.Workers, s.Jobs = 24, n })},
		{Name: "calls", Unit: "idempotent call/s, with 12 backend servers", Sizes: []float64{0, 50, 100, 200}, Rate: true,
			Spec: with(func(s *Spec, n float64) { s.Backends, s.Calls = 12, n })},
		{Name: "once_calls", Unit: "non-idempotent call/s, with 12 backend servers", Sizes: []float64{0, 25, 50, 100}, Rate: true,
			Spec: with(func(s *Spec, n float64) { s.Backends, s.Once = 12, n })},
	}
}

func ones(n int) []int { return spread(n, n) }

// spread divides n over parts as evenly as possible, the larger parts first.
func spread(n, parts int) []int {
	out := make([]int, parts)
	for i := range n {
		out[i%parts]++
	}
	return out
}

func (s Spec) dataCentres() []string {
	var names []string
	for i := range s.Stores {
		names = append(names, fmt.Sprintf("dc%d", i+1))
	}
	return names
}

// config returns the declarations of the fleet.
func (s Spec) config() fleet.Config {
	c := fleet.Config{
		DataCentres: map[string]fleet.DataCentre{},
		Instances:   map[string]fleet.Instance{},
		Pools: map[string]fleet.Pool{
			workPool:  {Name: workPool, MaxUnavailable: 1},
			servePool: {Name: servePool, MaxUnavailable: 1},
		},
		Teams: map[string]fleet.Team{},
		Queues: map[string]fleet.Queue{
			queueName: {Name: queueName, Pool: workPool, Class: fleet.ClassNormal, MaxQueuedPerTeam: maxQueued},
		},
		Services: map[string]fleet.Service{svcName: {Name: svcName, Pool: servePool, TimeoutMS: serviceTimeout}},
	}
	for _, dc := range s.dataCentres() {
		c.DataCentres[dc] = fleet.DataCentre{Name: dc, Region: "region"}
	}
	for i := range s.Teams {
		c.Teams[teamName(i)] = fleet.Team{Name: teamName(i), Share: 1, Limit: teamLimit}
	}
	for _, i := range append(s.instances(fleet.KindWorker), s.instances(fleet.KindBackend)...) {
		c.Instances[i.Name] = i
	}
	return c
}

func teamName(i int) string { return fmt.Sprintf("team-%03d", i+1) }

// instances returns the workers or backend servers, in turn over the data centres.
func (s Spec) instances(kind fleet.InstanceKind) []fleet.Instance {
	count, pool := s.Workers, workPool
	if kind == fleet.KindBackend {
		count, pool = s.Backends, servePool
	}
	dcs := s.dataCentres()
	var out []fleet.Instance
	for i := range count {
		dc := dcs[i%len(dcs)]
		out = append(out, fleet.Instance{
			Name:       fmt.Sprintf("%s-%s-%d", dc, kind, i+1),
			Pool:       pool,
			DataCentre: dc,
			Rack:       fmt.Sprintf("%s-r%d", dc, i/len(dcs)/workersPerRack+1),
			Kind:       kind,
		})
	}
	return out
}

// options returns the processes that are measured. Workers and backend servers
// run inside the measuring process instead.
func (s Spec) options(bin, dir string) harness.Options {
	return harness.Options{Bin: bin, Dir: dir, DataCentres: s.dataCentres(), Stores: s.Stores, EntriesPerDC: s.EntriesPerDC}
}
