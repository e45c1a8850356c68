package slopes

import (
	"encoding/json"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
	"github.com/samphirefork/samphirefork/internal/workerlink"
)

// The design size of docs/design.md, and the assumptions that it leaves open.
const (
	designDataCentres  = 11
	designRegions      = 4
	designPools        = 21
	designTeams        = 240
	designWorkers      = 2000
	designAccelerators = 3000
	// Assumed: three entries in each data centre, a queue for each pool, a
	// backend server for each ten workers and a service for each pool.
	entriesPerDC  = 3
	designBackend = 200
	tasksReported = 2
	resultBytes   = 100
)

// Size is the encoded size of one message or part of the state.
type Size struct {
	Name  string `json:"name"`
	Bytes int    `json:"bytes"`
	// Count is the number of elements behind the size.
	Count int `json:"count"`
}

// sizes encodes the messages and the configuration of the design size.
func sizes() ([]Size, error) {
	config := designConfig()
	worker := designWorker(0)
	tasks := designWorker(tasksReported)
	change := fleet.ConfigDelta{From: 1000, Revision: 1001, Teams: []fleet.Team{config.Teams[teamName(0)]}}
	spec := fleet.JobSpec{Size: fleet.Resources{CPUMilli: jobCPUMilli, MemoryMiB: jobMemory}, RunTimeMS: jobRunMS, Payload: make([]byte, resultBytes)}
	perEntry := designWorkers / (designDataCentres * entriesPerDC)
	parts := []struct {
		name  string
		count int
		value any
	}{
		{"configuration, full copy", len(config.Instances), config},
		{"configuration delta, one team", 1, change},
		{"Renew request, idle", 0, designRenew(0)},
		{"Renew request, all teams", designTeams, designRenew(designTeams)},
		{"Renew reply, no news, entries listed", designDataCentres * entriesPerDC, designReply(0)},
		{"Renew reply, all teams", designTeams, designReply(designTeams)},
		{"WorkerReport, one idle worker", 1, wire.WorkerReport{Entry: "dc10-e1", Workers: []wire.WorkerState{worker.WorkerState}}},
		{"WorkerReport, one worker, tasks", tasksReported, wire.WorkerReport{Entry: "dc10-e1", Workers: []wire.WorkerState{tasks.WorkerState}}},
		{"WorkerReport, workers of one entry, tasks", perEntry, wire.WorkerReport{Entry: "dc10-e1", Workers: repeated(tasks.WorkerState, perEntry)}},
		{"WorkerOrders, one start", 1, wire.WorkerOrders{Term: 9, Orders: []wire.Order{{Worker: worker.Instance, Incarnation: worker.Incarnation, Kind: wire.OrderStart, Spec: &spec}}}},
		{"Registration, one backend server", 1, designRegistration(1)},
		{"Registration, backend servers of one data centre", designBackend / designDataCentres, designRegistration(designBackend / designDataCentres)},
		{"command: submit", 1, fleet.Command{Submit: &fleet.JobSubmit{ID: jobID, Team: teamName(0), KeyID: "0123456789abcdef", Queue: "queue-10", Spec: spec}}},
		{"command: assign", 1, fleet.Command{Assign: &fleet.JobAssign{Assignments: []fleet.Assignment{{JobID: jobID, Worker: worker.Instance, Incarnation: worker.Incarnation}}}}},
		{"command: outcome", 1, fleet.Command{Outcome: &fleet.JobOutcomes{Outcomes: []fleet.JobOutcome{{JobID: jobID, Attempt: 1, Kind: fleet.OutcomeDone, Result: make([]byte, resultBytes)}}}}},
		{"command: observe a lost instance", 1, fleet.Command{Observe: &fleet.Observe{Observations: []fleet.Observation{{Instance: worker.Instance, Incarnation: worker.Incarnation, Lost: true}}}}},
		{"command: observe a restarted instance", 1, fleet.Command{Observe: &fleet.Observe{Observations: []fleet.Observation{{Instance: worker.Instance, Incarnation: worker.Incarnation, Address: worker.Address, Capacity: worker.Capacity}}}}},
		{"command: maintenance step", 1, fleet.Command{Maintenance: &fleet.PhaseChange{Steps: []fleet.PhaseStep{{Instance: worker.Instance, Plan: "plan-2026-49", Phase: fleet.PhaseRebooting}}}}},
		{"command: grant of one team", 1, fleet.Command{Grant: &fleet.GrantChange{Entry: "dc10-e1/3ljh2k4l5-1x2y3z", Units: map[string]int{teamName(0): 12}}}},
	}
	var out []Size
	for _, p := range parts {
		data, err := cbor.Marshal(p.value)
		if err != nil {
			return nil, errors.Wrap(err, p.name)
		}
		out = append(out, Size{Name: p.name, Bytes: len(data), Count: p.count})
	}
	announced, err := json.Marshal(worker)
	if err != nil {
		return nil, errors.Wrap(err, "slopes: announcement")
	}
	return append(out, Size{Name: "announcement of an idle worker, JSON body", Bytes: len(announced), Count: 1}), nil
}

const jobID = "dc10.1796351700000-0123456789abcdef"

func designConfig() fleet.Config {
	c := fleet.Config{
		Revision: 100000, DataCentres: map[string]fleet.DataCentre{}, Instances: map[string]fleet.Instance{},
		Pools: map[string]fleet.Pool{}, Teams: map[string]fleet.Team{}, Keys: map[string]fleet.Key{},
		Queues: map[string]fleet.Queue{}, Services: map[string]fleet.Service{},
	}
	for i := range designDataCentres {
		name := dcName(i)
		c.DataCentres[name] = fleet.DataCentre{Name: name, Region: fmt.Sprintf("region-%d", i%designRegions)}
	}
	for i := range designPools {
		pool, queue, service := fmt.Sprintf("pool-%d", i), fmt.Sprintf("queue-%d", i), fmt.Sprintf("service-%d", i)
		c.Pools[pool] = fleet.Pool{Name: pool, MaxUnavailable: 5, MaxUnavailablePerRack: 1, MaxUnavailablePerDataCentre: 2}
		c.Queues[queue] = fleet.Queue{Name: queue, Pool: pool, Class: fleet.ClassNormal, MaxQueuedPerTeam: maxQueued}
		c.Services[service] = fleet.Service{Name: service, Pool: pool, TimeoutMS: serviceTimeout}
	}
	for i := range designTeams {
		name, key := teamName(i), fmt.Sprintf("%016x", i)
		c.Teams[name] = fleet.Team{Name: name, Share: 10, Limit: teamLimit}
		c.Keys[key] = fleet.Key{ID: key, Team: name, SecretSHA256: fmt.Sprintf("%064x", i)}
	}
	for i := range designWorkers + designBackend {
		name, kind := fmt.Sprintf("%s-w%04d", dcName(i), i), fleet.KindWorker
		if i >= designWorkers {
			kind = fleet.KindBackend
		}
		c.Instances[name] = fleet.Instance{
			Name: name, Pool: fmt.Sprintf("pool-%d", i%designPools), DataCentre: dcName(i),
			Rack: fmt.Sprintf("%s-r%d", dcName(i), i/designDataCentres/workersPerRack), Kind: kind,
		}
	}
	return c
}

func dcName(i int) string { return fmt.Sprintf("dc%d", i%designDataCentres+1) }

func designWorker(tasks int) workerlink.Announcement {
	state := wire.WorkerState{
		Instance: "dc10-w1234", Incarnation: "dc10-w1234-1796351700000000000-1", Address: "10.10.12.34:8080",
		DataCentre: "dc10", Rack: "dc10-r28",
		Capacity: fleet.Resources{CPUMilli: workerCPUMilli, MemoryMiB: workerMemoryMiB, Accelerators: designAccelerators / designWorkers},
	}
	for range tasks {
		usage := fleet.Resources{CPUMilli: jobCPUMilli, MemoryMiB: jobMemory}
		state.Tasks = append(state.Tasks, wire.TaskReport{JobID: jobID, Attempt: 1, State: wire.TaskRunning, Usage: usage})
	}
	return workerlink.Announcement{WorkerState: state, Sequence: 100000}
}

func repeated(s wire.WorkerState, n int) []wire.WorkerState {
	var out []wire.WorkerState
	for range n {
		out = append(out, s)
	}
	return out
}

func unitsOf(teams int) map[string]int {
	out := map[string]int{}
	for i := range teams {
		out[teamName(i)] = 12
	}
	return out
}

func designRenew(teams int) wire.RenewRequest {
	return wire.RenewRequest{
		Instance: "dc10-e1", DataCentre: "dc10", Incarnation: "3ljh2k4l5-1x2y3z4a5b6c7", Sequence: 100000,
		PeerAddress: "10.10.0.1:7070", Revision: 100000, HoldMS: 400,
		Wanted: unitsOf(teams), Used: unitsOf(teams), Granted: unitsOf(teams),
	}
}

func designReply(teams int) wire.RenewReply {
	r := wire.RenewReply{Term: 9, LeaseMS: 2000, Revision: 100000, Grants: unitsOf(teams), TeamCalls: unitsOf(teams)}
	for i := range designDataCentres * entriesPerDC {
		r.Entries = append(r.Entries, wire.EntryInfo{Instance: fmt.Sprintf("%s-e%d", dcName(i), i), DataCentre: dcName(i), PeerAddress: "10.10.0.1:7070"})
	}
	return r
}

func designRegistration(backends int) wire.Registration {
	r := wire.Registration{Entry: wire.EntryInfo{Instance: "dc10-e1", DataCentre: "dc10", PeerAddress: "10.10.0.1:7070"}}
	for range backends {
		r.Backends = append(r.Backends, wire.BackendInfo{
			Instance: "dc10-b1234", Incarnation: "3ljh2k4l5abc", Service: "service-10", Address: "10.10.12.34:8080",
			Slots: backendSlots, Connections: backendConns, Sequence: 100000, AgeMS: 500,
		})
	}
	return r
}
