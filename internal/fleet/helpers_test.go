package fleet

import (
	"fmt"
	"strings"

	"github.com/stretchr/testify/require"
)

// fixture applies commands to a state, each with the next log index and a cluster time 1 ms
// later.
type fixture struct {
	t         require.TestingT
	s         *State
	lastIndex uint64
	clock     Time
}

var testHash = strings.Repeat("ab", 32)

// newFixture returns a fixture with one data centre, two pools, three workers that have
// announced themselves, two teams with one key each, a queue that needs a key, an open queue
// and a queue for watch tasks.
func newFixture(t require.TestingT) *fixture {
	fx := &fixture{t: t, s: NewState(), clock: 1000}
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
	fx.mustApply(fx.change(items...))
	for i := range 3 {
		fx.mustApply(Command{Observe: &Observe{Observations: []Observation{announced(fmt.Sprint("w", i), "1")}}})
	}
	return fx
}

func announced(worker, incarnation string) Observation {
	return Observation{Instance: worker, Incarnation: incarnation, Capacity: Resources{CPUMilli: 2000, MemoryMiB: 2000}}
}

func (fx *fixture) apply(cmd Command) Result {
	fx.lastIndex++
	fx.clock++
	cmd.Time = fx.clock
	return fx.s.Apply(fx.lastIndex, cmd)
}

func (fx *fixture) mustApply(cmd Command) Result {
	r := fx.apply(cmd)
	require.Nil(fx.t, r.Refusal)
	require.Empty(fx.t, r.Rejected)
	return r
}

// change returns a configuration change with the present revision and a new request
// identifier.
func (fx *fixture) change(items ...ChangeItem) Command {
	id := fmt.Sprint("change-", fx.lastIndex)
	return Command{Change: &ConfigChange{RequestID: id, Operator: "op", ExpectedRevision: fx.s.Config.Revision, Items: items}}
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

// code returns the refusal code of a result or else of the first element of its batch.
func code(r Result) Code {
	if r.Refusal != nil {
		return r.Refusal.Code
	}
	return r.Rejected[0].Code
}

// encodeContent returns a snapshot without Applied and Now, which refused commands change
// too.
func encodeContent(t require.TestingT, s *State) string {
	c := *s
	c.Applied, c.Now = 0, 0
	data, err := c.EncodeSnapshot()
	require.NoError(t, err)
	return string(data)
}
