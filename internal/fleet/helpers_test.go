package fleet

import (
	"fmt"
	"strings"

	"github.com/stretchr/testify/require"
)

// world drives a state with a command counter.
type world struct {
	t     require.TestingT
	s     *State
	next  uint64
	clock Time
}

var testHash = strings.Repeat("ab", 32)

// newWorld declares one data centre, two pools, three workers, two teams with
// one key each, a keyed queue, an open queue and a watch queue.
func newWorld(t require.TestingT) *world {
	w := &world{t: t, s: NewState(), clock: 1000}
	items := []ChangeItem{
		{PutDataCentre: &DataCentre{Name: "dc"}},
		{PutPool: &Pool{Name: "p", MaxUnavailable: 2, MaxUnavailablePerRack: 1}},
		{PutPool: &Pool{Name: "spare", MaxUnavailable: 1}},
		{PutQueue: &Queue{Name: "q", Pool: "p", Class: ClassNormal, MaxQueuedPerTeam: 3}},
		{PutQueue: &Queue{Name: "open", Pool: "p", Open: true, Class: ClassNormal, MaxQueuedPerTeam: 3}},
		{PutQueue: &Queue{Name: "watch", Pool: "p", Class: ClassWatch, MaxQueuedPerTeam: 3, OnPartition: PartitionKeep}},
	}
	for i, rack := range []string{"r1", "r1", "r2"} {
		in := Instance{Name: fmt.Sprint("w", i), Pool: "p", DataCentre: "dc", Rack: rack, Kind: KindWorker}
		items = append(items, ChangeItem{PutInstance: &in})
	}
	for _, team := range []string{"a", "b"} {
		items = append(items, ChangeItem{PutTeam: &Team{Name: team, Share: 1, Limit: 2}},
			ChangeItem{IssueKey: &Key{ID: "k" + team, Team: team, SecretSHA256: testHash}})
	}
	w.accept(w.change(items...))
	for i := range 3 {
		w.accept(Command{Observe: &Observe{Observations: []Observation{announced(fmt.Sprint("w", i), "1")}}})
	}
	return w
}

func announced(worker, incarnation string) Observation {
	return Observation{Instance: worker, Incarnation: incarnation, Capacity: Resources{CPUMilli: 2000, MemoryMiB: 2000}}
}

func (w *world) do(cmd Command) Result {
	w.next++
	w.clock++
	cmd.Time = w.clock
	return w.s.Apply(w.next, cmd)
}

func (w *world) accept(cmd Command) Result {
	r := w.do(cmd)
	require.Nil(w.t, r.Refusal)
	require.Empty(w.t, r.Rejected)
	return r
}

// change returns a change with the present revision and a new identifier.
func (w *world) change(items ...ChangeItem) Command {
	id := fmt.Sprint("change-", w.next)
	return Command{Change: &ConfigChange{RequestID: id, Operator: "op", ExpectedRevision: w.s.Config.Revision, Items: items}}
}

func submit(id, team, queue string, idempotent bool) Command {
	c := &JobSubmit{ID: id, Team: team, Queue: queue, Spec: JobSpec{Size: Resources{CPUMilli: 1000}, Idempotent: idempotent}}
	if team != "" {
		c.KeyID = "k" + team
	}
	return Command{Submit: c}
}

func assign(job, worker, incarnation string) Command {
	return Command{Assign: &JobAssign{Assignments: []Assignment{{job, worker, incarnation}}}}
}

func outcome(job string, attempt int, kind OutcomeKind) Command {
	return Command{Outcome: &JobOutcomes{Outcomes: []JobOutcome{{JobID: job, Attempt: attempt, Kind: kind, Result: []byte("r")}}}}
}

func observe(o Observation) Command {
	return Command{Observe: &Observe{Observations: []Observation{o}}}
}

// code returns the refusal code of a result, of the whole or of its first element.
func code(r Result) Code {
	if r.Refusal != nil {
		return r.Refusal.Code
	}
	return r.Rejected[0].Code
}

// content returns the snapshot without the position and time of the last command.
func content(t require.TestingT, s *State) string {
	c := *s
	c.Applied, c.Now = 0, 0
	data, err := c.EncodeSnapshot()
	require.NoError(t, err)
	return string(data)
}
