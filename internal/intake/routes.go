// Package intake handles the calls of job submitters. On an entry, a Client forwards them
// to the leader. On the leader, a Server finds their queue, checks their key, decides
// whether a job can be accepted, and proposes the change to the fleet log.
package intake

import (
	"cmp"
	"slices"
	"strings"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// Routes is an index of the queues and teams of one configuration. It is immutable.
type Routes struct {
	version int64
	byHost  map[string][]workload.Queue
	teams   map[string]string
}

// NewRoutes returns the index of a configuration.
func NewRoutes(c workload.Config) *Routes {
	r := &Routes{version: c.Version, byHost: map[string][]workload.Queue{}, teams: map[string]string{}}
	for _, q := range c.Queues {
		r.byHost[q.Host] = append(r.byHost[q.Host], q)
	}
	for _, queues := range r.byHost {
		slices.SortFunc(queues, func(a, b workload.Queue) int {
			return cmp.Or(cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)), cmp.Compare(a.Name, b.Name))
		})
	}
	for _, t := range c.Teams {
		for _, key := range t.Keys {
			r.teams[key] = t.Name
		}
	}
	return r
}

// Find returns the queue of the host with the longest prefix of the path, and the rest of
// the path, or false if there is none.
func (r *Routes) Find(host, path string) (workload.Queue, string, bool) {
	for _, q := range r.byHost[host] {
		if rest, ok := strings.CutPrefix(path, q.PathPrefix); ok {
			return q, rest, true
		}
	}
	return workload.Queue{}, "", false
}

// Team returns the name of the team that owns the key, or false if there is none.
func (r *Routes) Team(key string) (string, bool) {
	team, ok := r.teams[key]
	return team, ok && key != ""
}
