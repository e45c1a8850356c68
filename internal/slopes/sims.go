package slopes

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/samphirefork/samphirefork/internal/backendsim"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/harness"
	"github.com/samphirefork/samphirefork/internal/settings"
	"github.com/samphirefork/samphirefork/internal/simworker"
)

const (
	announcePeriod  = time.Second
	meanServiceTime = 5 * time.Millisecond
	usageLag        = time.Second
	leaveTimeout    = 8 * time.Second
)

// ErrLeave is returned when simulated instances did not end in time.
var ErrLeave = errors.New("slopes: simulated instances did not end in time")

// sims are the simulated workers and backend servers of a fleet.
type sims struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// startSims starts all simulated instances, spread over one announcement period
// so that their announcements don't coincide.
func startSims(s Spec, f *harness.Fleet) (*sims, error) {
	ctx, cancel := context.WithCancel(context.Background())
	out := &sims{cancel: cancel}
	for kind, start := range map[fleet.InstanceKind]func(context.Context, fleet.Instance, []string) error{
		fleet.KindWorker: out.startWorker, fleet.KindBackend: out.startBackend,
	} {
		instances := s.instances(kind)
		for _, i := range instances {
			if err := start(ctx, i, addresses(f.EntriesOf(i.DataCentre))); err != nil {
				return out, err
			}
			time.Sleep(announcePeriod / time.Duration(len(instances)))
		}
	}
	return out, nil
}

func addresses(entries []*harness.Process) []string {
	var out []string
	for _, e := range entries {
		out = append(out, e.Address)
	}
	return out
}

func (s *sims) startWorker(ctx context.Context, i fleet.Instance, entries []string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "slopes: listen")
	}
	worker := simworker.New(simworker.Config{
		Instance:   i.Name,
		DataCentre: i.DataCentre,
		Rack:       i.Rack,
		Listen:     listener.Addr().String(),
		Entries:    entries,
		Capacity:   fleet.Resources{CPUMilli: workerCPUMilli, MemoryMiB: workerMemoryMiB},
		UsageLag:   settings.Duration(usageLag),
	}, nil, zerolog.Nop())
	server := &http.Server{Handler: worker.Handler(), ReadHeaderTimeout: leaveTimeout}
	s.running.Go(func() { _ = server.Serve(listener) })
	s.running.Go(func() {
		worker.Run(ctx)
		_ = server.Close()
	})
	return nil
}

func (s *sims) startBackend(ctx context.Context, i fleet.Instance, entries []string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "slopes: listen")
	}
	server := backendsim.New(backendsim.Config{
		Instance: i.Name, Service: svcName, Entries: entries, Slots: backendSlots, Connections: backendConns,
		Mean: meanServiceTime, Distribution: "fixed", Seed: 1,
	}, listener)
	s.running.Go(func() { _ = server.Run(ctx) })
	return nil
}

// stop ends the simulated instances while the entries still run, so that
// finished tasks are acknowledged.
func (s *sims) stop() error {
	s.cancel()
	ended := make(chan struct{})
	go func() {
		s.running.Wait()
		close(ended)
	}()
	timer := time.NewTimer(leaveTimeout)
	defer timer.Stop()
	select {
	case <-ended:
		return nil
	case <-timer.C:
		return ErrLeave
	}
}
