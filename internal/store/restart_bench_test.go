package store

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/settings"
	"github.com/samphirefork/samphirefork/internal/workload"
)

// documentBytes is the size of a configuration document at the first sites.
const documentBytes = 40 << 10

// createLog writes a log with the given numbers of configuration changes and jobs, and
// returns the settings of its only member.
func createLog(b *testing.B, changes, jobs int) settings.Store {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	address := listener.Addr().String()
	cfg := settings.Store{
		ID: 1, Listen: address, Advertise: address, DataFolder: b.TempDir(),
		Members: []settings.Member{{ID: 1, Instance: "a", Address: address}},
	}
	node, err := Open(cfg, Options{Machine: NewFleetMachine(), Initialize: true, Log: zerolog.Nop()})
	require.NoError(b, err)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- NewServer(node, nil, metrics.NewRegistry(), zerolog.Nop()).Run(ctx, listener) }()
	require.Eventually(b, func() bool { return node.Leadership().Leading }, deadline, time.Millisecond)
	for i := range changes {
		_, err := fleet.ProposeWorkload(ctx, node, &workload.Command{Configure: &workload.Config{
			Version: int64(i + 1), Fingerprint: uint64(i + 1), Document: make([]byte, documentBytes),
			Queues: map[string]workload.Queue{"q": {Name: "q", Pool: "p", MaxAttempts: 3}},
		}})
		require.NoError(b, err)
	}
	for i := range jobs {
		_, err := fleet.ProposeWorkload(ctx, node, &workload.Command{Submit: &workload.Submit{
			ID: fmt.Sprintf("%016x", i), Queue: "q", Steps: []workload.Step{{Count: 4}, {Count: 6, After: []int{0}}},
		}})
		require.NoError(b, err)
	}
	stop()
	require.NoError(b, <-done)
	return cfg
}

// BenchmarkRestart measures the time and allocations of a restart with few and with many
// configuration changes, and with the jobs of one day and of ten.
func BenchmarkRestart(b *testing.B) {
	for _, size := range []struct{ changes, jobs int }{{10, 1300}, {1000, 1300}, {10, 13000}} {
		b.Run(fmt.Sprintf("changes=%d/jobs=%d", size.changes, size.jobs), func(b *testing.B) {
			cfg := createLog(b, size.changes, size.jobs)
			b.ReportAllocs()
			for b.Loop() {
				machine := NewFleetMachine()
				node, err := Open(cfg, Options{Machine: machine, Log: zerolog.Nop()})
				require.NoError(b, err)
				b.StopTimer()
				node.Close()
				b.StartTimer()
			}
		})
	}
}
