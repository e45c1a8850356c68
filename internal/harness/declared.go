package harness

import (
	"fmt"
	"sort"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/history"
)

const (
	latencyUS     = 1500
	serviceTimeMS = 10
	slots         = 8
	connections   = 64
)

// ErrDeclared is returned for declarations that no fleet can be started for.
var ErrDeclared = errors.New("harness: declarations can't be run")

// FleetOptions returns a fleet of processes for the declared instances: one store
// and two entries in each data centre.
func FleetOptions(cfg fleet.Config, bin, dir string) (Options, error) {
	o := Options{Bin: bin, Dir: dir, EntriesPerDC: 2, LatencyUS: latencyUS, DataCentres: SortedKeys(cfg.DataCentres)}
	for range o.DataCentres {
		o.Stores = append(o.Stores, 1)
	}
	services := servicesOfPools(cfg)
	next := map[string]int{}
	for _, name := range SortedKeys(cfg.Instances) {
		i := cfg.Instances[name]
		if i.Kind == fleet.KindWorker {
			capacity := fleet.Resources{CPUMilli: 32000, MemoryMiB: 65536}
			o.Workers = append(o.Workers, Worker{Name: name, DataCentre: i.DataCentre, Rack: i.Rack, Capacity: capacity})
			continue
		}
		candidates := services[i.Pool]
		if len(candidates) == 0 {
			return o, errors.Wrap(ErrDeclared, fmt.Sprintf("pool %s of backend server %s has no service", i.Pool, name))
		}
		service := candidates[next[i.Pool]%len(candidates)]
		next[i.Pool]++
		o.Backends = append(o.Backends, Backend{
			Name: name, DataCentre: i.DataCentre, Service: service,
			Slots: slots, Connections: connections, ServiceTimeMS: serviceTimeMS,
		})
	}
	return o, nil
}

func servicesOfPools(cfg fleet.Config) map[string][]string {
	out := map[string][]string{}
	for _, name := range SortedKeys(cfg.Services) {
		pool := cfg.Services[name].Pool
		out[pool] = append(out[pool], name)
	}
	return out
}

// CheckerFleet returns what the history checker needs of a configuration.
func CheckerFleet(cfg fleet.Config) history.Fleet {
	f := history.Fleet{Limits: map[string]int{}, Budgets: map[string]int{}, PoolOf: map[string]string{}, PoolOfTarget: map[string]string{}}
	for name, t := range cfg.Teams {
		f.Limits[name] = t.Limit
	}
	for name, p := range cfg.Pools {
		f.Budgets[name] = p.MaxUnavailable
	}
	for name, i := range cfg.Instances {
		f.PoolOf[name] = i.Pool
	}
	for name, q := range cfg.Queues {
		f.PoolOfTarget[name] = q.Pool
	}
	for name, v := range cfg.Services {
		f.PoolOfTarget[name] = v.Pool
	}
	return f
}

// SortedKeys returns the keys of a map in order.
func SortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
