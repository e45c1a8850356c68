package entry

import (
	"time"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/routing"
)

const (
	// summaryMaxAge is the time for which the free slots that an entry of another data
	// centre reported are used.
	summaryMaxAge = 1500 * time.Millisecond
	// busyRemoteMemory is the time for which an entry that has reported a free slot of a
	// service counts as serving it while it reports none. It is the length of a backend
	// server's registration.
	busyRemoteMemory = routing.Lease
)

// remoteCapacity is the latest report of an entry of another data centre.
type remoteCapacity struct {
	dataCentre string
	receivedAt time.Time
	// free holds the free slots by service.
	free map[string]int
	// freeAt holds, by service, the time of the latest report with a free slot.
	freeAt map[string]time.Time
}

// report returns the remote capacity after a further report. The receiver may be nil.
func (r *remoteCapacity) report(now time.Time, dataCentre string, free map[string]int) *remoteCapacity {
	next := &remoteCapacity{dataCentre: dataCentre, receivedAt: now, free: map[string]int{}, freeAt: map[string]time.Time{}}
	if r != nil {
		for service, at := range r.freeAt {
			if now.Sub(at) < busyRemoteMemory {
				next.freeAt[service] = at
			}
		}
	}
	for service, n := range free {
		next.free[service] = n
		if n > 0 {
			next.freeAt[service] = now
		}
	}
	return next
}

// followConfig passes the evacuations of the leased configuration to routing. All choices of
// a target use the copy whose revision the renewals state, so that no call is sent to an
// evacuated data centre once the evacuation is in force. The caller holds s.mu.
func (s *scheduler) followConfig(now time.Time) {
	config, _ := s.lease.view(now)
	if config == s.config {
		return
	}
	s.config = config
	if !s.evacuating() {
		s.routes.SetEvacuated(func(string) bool { return false })
		return
	}
	s.routes.SetEvacuated(func(instance string) bool {
		declared, ok := config.Instances[instance]
		if !ok {
			return config.Evacuated(s.dataCentre)
		}
		return config.Evacuated(declared.DataCentre)
	})
}

// takesForwards reports whether calls may be forwarded to the entry of a remote. The caller
// holds s.mu and has called followConfig.
func (s *scheduler) takesForwards(now time.Time, r *remoteCapacity) bool {
	return now.Sub(r.receivedAt) < summaryMaxAge && !(s.config != nil && s.config.Evacuated(r.dataCentre))
}

// mayServe reports whether any backend server is known that may serve a call to the service
// now or soon. While a data centre is evacuated, its calls depend on the slots of others,
// which may all be in use for a moment. The caller holds s.mu and has called followConfig.
func (s *scheduler) mayServe(now time.Time, service string) bool {
	if s.routes.HasBackend(now, service) {
		return true
	}
	if !s.evacuating() {
		return false
	}
	for _, r := range s.remotes {
		if at, ok := r.freeAt[service]; ok && now.Sub(at) < busyRemoteMemory && s.takesForwards(now, r) {
			return true
		}
	}
	return false
}

// evacuating reports whether any data centre is evacuated.
func (s *scheduler) evacuating() bool { return s.config != nil && len(s.config.Evacuations) > 0 }

// refuseUnserved refuses the waiting calls to the service if an evacuation has left no
// backend server for them. The caller holds s.mu and has called followConfig.
func (s *scheduler) refuseUnserved(now time.Time, service string) {
	if !s.evacuating() || s.mayServe(now, service) {
		return
	}
	for req := range s.waiting {
		if req.Service == service && s.admit.Cancel(req) {
			s.refuse(req, s.admit.Refusal(now, api.CodeNoBackend, req))
		}
	}
}
