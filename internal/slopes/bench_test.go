package slopes

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/placement"
	"github.com/samphirefork/samphirefork/internal/share"
)

// designSnapshot has two running tasks on each worker and queued jobs of all teams.
func designSnapshot(workers, queued int) placement.Snapshot {
	s := placement.Snapshot{Now: 1000, Teams: map[string]placement.Team{}, Rank: share.New("").Ranking()}
	size := fleet.Resources{CPUMilli: 8000, MemoryMiB: 8192}
	for i := range designTeams {
		s.Teams[teamName(i)] = placement.Team{Limit: teamLimit}
	}
	for i := range workers {
		name := fmt.Sprintf("w%04d", i)
		s.Workers = append(s.Workers, placement.Worker{
			Name: name, Incarnation: name, Pool: fmt.Sprintf("pool-%d", i%designPools), Rack: fmt.Sprint("r", i/workersPerRack),
			DataCentre: dcName(i), Capacity: fleet.Resources{CPUMilli: workerCPUMilli, MemoryMiB: workerMemoryMiB}, Usable: true,
		})
		for k := range tasksReported {
			s.Tasks = append(s.Tasks, placement.Task{JobID: fmt.Sprint(name, "-", k), Worker: name, Team: teamName(i % designTeams), Class: fleet.ClassNormal, Size: size, Declared: size})
		}
	}
	for i := range queued {
		s.Jobs = append(s.Jobs, placement.Job{
			ID: fmt.Sprint("q", i), Team: teamName(i % designTeams), Pool: fmt.Sprintf("pool-%d", i%designPools), Class: fleet.ClassNormal, Size: size,
		})
	}
	return s
}

// BenchmarkPlacement computes a plan for 500 queued jobs at three numbers of workers.
func BenchmarkPlacement(b *testing.B) {
	for _, workers := range []int{200, 1000, designWorkers} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			snap := designSnapshot(workers, placement.DefaultMaxAssignments)
			for b.Loop() {
				snap.Rank = share.New("").Ranking()
				if len(placement.Compute(placement.PolicyBestFit, snap).Assignments) == 0 {
					b.Fatal("nothing placed")
				}
			}
		})
	}
}

// BenchmarkShare advances the accounts of all teams and ranks them.
func BenchmarkShare(b *testing.B) {
	var usage []share.Usage
	for i := range designTeams {
		usage = append(usage, share.Usage{Team: teamName(i), Weight: 1, Running: fleet.Resources{CPUMilli: 100000}})
	}
	accounts, now := share.New(""), fleet.Time(0)
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		accounts.Advance(now, fleet.Resources{CPUMilli: designWorkers * workerCPUMilli}, usage)
		accounts.Ranking().Score(teamName(0), fleet.Resources{})
	}
}
