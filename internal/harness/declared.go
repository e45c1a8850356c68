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

// ErrUnsupportedConfig is returned for a configuration for which the harness can't
// start a fleet, because no service uses the pool of a backend server.
var ErrUnsupportedConfig = errors.New("harness: can't start a fleet for the declarations")

// FleetOptions returns the options of a fleet with the declared instances, and with
// one store and two entries in each data centre. It returns ErrUnsupportedConfig
// when the pool of a backend server has no service.
func FleetOptions(cfg fleet.Config, bin, dir string) (Options, error) {
	o := Options{Bin: bin, Dir: dir, EntriesPerDC: 2, LatencyUS: latencyUS, DataCentres: SortedKeys(cfg.DataCentres)}
	for range o.DataCentres {
		o.Stores = append(o.Stores, 1)
	}
	services := newServicePicker(cfg)
	for _, name := range SortedKeys(cfg.Instances) {
		i := cfg.Instances[name]
		if i.Kind == fleet.KindWorker {
			capacity := fleet.Resources{CPUMilli: 32000, MemoryMiB: 65536}
			o.Workers = append(o.Workers, Worker{Name: name, DataCentre: i.DataCentre, Rack: i.Rack, Capacity: capacity})
			continue
		}
		service, ok := services.next(i.Pool, i.DataCentre)
		if !ok {
			return o, errors.Wrap(ErrUnsupportedConfig, fmt.Sprintf("pool %s of backend server %s has no service", i.Pool, name))
		}
		o.Backends = append(o.Backends, Backend{
			Name: name, DataCentre: i.DataCentre, Service: service,
			Slots: slots, Connections: connections, ServiceTimeMS: serviceTimeMS,
		})
	}
	return o, nil
}

// servicePicker distributes the services of a pool over its backend servers in turn.
// The first backend server of a pool in each data centre serves the pool's open
// service, so that a data centre that is cut off still has calls to serve.
type servicePicker struct {
	open     map[string]string
	keyed    map[string][]string
	assigned map[string]int
}

func newServicePicker(cfg fleet.Config) *servicePicker {
	p := &servicePicker{open: map[string]string{}, keyed: map[string][]string{}, assigned: map[string]int{}}
	for _, name := range SortedKeys(cfg.Services) {
		service := cfg.Services[name]
		if service.Open {
			p.open[service.Pool] = name
			continue
		}
		p.keyed[service.Pool] = append(p.keyed[service.Pool], name)
	}
	return p
}

func (p *servicePicker) next(pool, dataCentre string) (string, bool) {
	place := pool + "/" + dataCentre
	p.assigned[place]++
	open, ok := p.open[pool]
	if ok && (p.assigned[place] == 1 || len(p.keyed[pool]) == 0) {
		return open, true
	}
	if len(p.keyed[pool]) == 0 {
		return "", false
	}
	p.assigned[pool]++
	return p.keyed[pool][(p.assigned[pool]-1)%len(p.keyed[pool])], true
}

// CheckerFleet returns the limits, availability budgets and pools of a configuration
// in the form that the history checker takes.
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

// SortedKeys returns the keys of a map in ascending order.
func SortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
