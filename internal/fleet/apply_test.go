package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRefusals guards against an invalid command that is accepted, and against a refused
// command that changes the state.
func TestRefusals(t *testing.T) {
	drained := func(in string) ChangeItem { return ChangeItem{Drain: &DrainRequest{Instance: in}} }
	put := func(in Instance) ChangeItem { return ChangeItem{PutInstance: &in} }
	del := func(k EntityKind, n string) ChangeItem { return ChangeItem{Delete: &EntityRef{k, n}} }
	draining := Command{Maintenance: &PhaseChange{Steps: []PhaseStep{{Instance: "w0", Plan: "m", Phase: PhaseDraining}}}}
	cases := []struct {
		name  string
		setup []Command
		items []ChangeItem
		cmd   Command
		want  Code
	}{
		{name: "pool in use", items: []ChangeItem{del(EntityPool, "p")}, want: CodeInUse},
		{name: "team with a key", items: []ChangeItem{del(EntityTeam, "a")}, want: CodeInUse},
		{name: "data centre in use", items: []ChangeItem{del(EntityDataCentre, "dc")}, want: CodeInUse},
		{name: "unknown entity", items: []ChangeItem{del(EntityPool, "x")}, want: CodeNotFound},
		{name: "queue with jobs", setup: []Command{submit("j", "a", "q", true)}, items: []ChangeItem{del(EntityQueue, "q")}, want: CodeInUse},
		{name: "queue without pool", items: []ChangeItem{{PutQueue: &Queue{Name: "n", Pool: "x", Class: ClassNormal, MaxQueuedPerTeam: 1}}}, want: CodeNotFound},
		{name: "key of an unknown team", items: []ChangeItem{{IssueKey: &Key{ID: "n", Team: "x", SecretSHA256: testHash}}}, want: CodeNotFound},
		{name: "key identifier reused", items: []ChangeItem{{WithdrawKey: "ka"}, {IssueKey: &Key{ID: "ka", Team: "a", SecretSHA256: testHash}}}, want: CodeInUse},
		{name: "negative limit", items: []ChangeItem{{PutTeam: &Team{Name: "a", Share: 1, Limit: -1}}}, want: CodeInvalid},
		{name: "share of zero", items: []ChangeItem{{PutTeam: &Team{Name: "a"}}}, want: CodeInvalid},
		{name: "all items or none", items: []ChangeItem{{PutDataCentre: &DataCentre{Name: "n"}}, {}}, want: CodeInvalid},
		{name: "busy instance changes pool", setup: []Command{submit("j", "a", "q", true), assign("j", "w0", "1")},
			items: []ChangeItem{put(Instance{Name: "w0", Pool: "spare", DataCentre: "dc", Kind: KindWorker})}, want: CodeInUse},
		{name: "busy instance is moved", setup: []Command{submit("j", "a", "q", true), assign("j", "w0", "1")},
			cmd: Command{Move: &PoolMove{Instance: "w0", From: "p", To: "spare"}}, want: CodeInUse},
		{name: "rack budget", items: []ChangeItem{drained("w0"), drained("w1")}, want: CodeBudget},
		{name: "lost instances count", setup: []Command{observe(Observation{Instance: "w0", Lost: true}), observe(Observation{Instance: "w2", Lost: true})},
			items: []ChangeItem{drained("w1")}, want: CodeBudget},
		{name: "job without key", cmd: submit("j", "", "q", true), want: CodeUnauthorized},
		{name: "key of another team", cmd: Command{Submit: &JobSubmit{ID: "j", Team: "a", KeyID: "kb", Queue: "q"}}, want: CodeUnauthorized},
		{name: "identifier reused", setup: []Command{submit("j", "a", "q", true)}, cmd: submit("j", "a", "q", false), want: CodeRequestIDReused},
		{name: "queue full", setup: []Command{submit("1", "a", "q", true), submit("2", "a", "q", true), submit("3", "a", "q", true)},
			cmd: submit("4", "a", "q", true), want: CodeQueueFull},
		{name: "other incarnation", setup: []Command{submit("j", "a", "q", true)}, cmd: assign("j", "w0", "2"), want: CodeStale},
		{name: "lost worker", setup: []Command{submit("j", "a", "q", true), observe(Observation{Instance: "w0", Lost: true})}, cmd: assign("j", "w0", "1"), want: CodeStale},
		{name: "quarantined worker", setup: []Command{submit("j", "a", "q", true), observe(Observation{Instance: "w0", QuarantineMS: 1000})}, cmd: assign("j", "w0", "1"), want: CodeStale},
		{name: "no room", setup: []Command{submit("1", "a", "q", true), assign("1", "w0", "1"), submit("2", "b", "q", true), assign("2", "w0", "1"), submit("3", "", "open", true), assign("3", "w0", "1"),
			submit("4", "", "open", true), assign("4", "w0", "1"), submit("5", "", "open", true)},
			cmd: assign("5", "w0", "1"), want: CodeStale},
		{name: "team limit", setup: []Command{submit("1", "a", "q", true), {Grant: &GrantChange{"e", map[string]int{"a": 2}}}}, cmd: assign("1", "w0", "1"), want: CodeLimit},
		{name: "grant over limit", setup: []Command{submit("1", "a", "q", true), assign("1", "w0", "1")}, cmd: Command{Grant: &GrantChange{"e", map[string]int{"a": 2}}}, want: CodeLimit},
		{name: "older attempt", setup: []Command{submit("j", "a", "q", true), assign("j", "w0", "1"), outcome("j", 1, OutcomeFailed), assign("j", "w1", "1")},
			cmd: outcome("j", 1, OutcomeDone), want: CodeStale},
		{name: "cancel of another team", setup: []Command{submit("j", "a", "q", true)}, cmd: Command{Cancel: &JobCancel{ID: "j", Team: "b"}}, want: CodeUnauthorized},
		{name: "reboot of a busy instance", setup: []Command{submit("j", "a", "q", true), assign("j", "w0", "1"), {Maintenance: &PhaseChange{Steps: []PhaseStep{{Instance: "w0", Phase: PhaseDraining}}}}},
			cmd: Command{Maintenance: &PhaseChange{Steps: []PhaseStep{{Instance: "w0", Phase: PhaseRebooting}}}}, want: CodeInUse},
		{name: "before the retry time", setup: []Command{submit("j", "a", "q", true), assign("j", "w0", "1"),
			{Outcome: &JobOutcomes{Outcomes: []JobOutcome{{JobID: "j", Attempt: 1, Kind: OutcomeFailed, RetryDelayMS: 1000}}}}}, cmd: assign("j", "w0", "1"), want: CodeStale},
		{name: "worker of another pool", setup: []Command{submit("j", "a", "q", true), {Move: &PoolMove{Instance: "w0", From: "p", To: "spare"}}},
			cmd: assign("j", "w0", "1"), want: CodeStale},
		{name: "after the deadline", setup: []Command{{Submit: &JobSubmit{ID: "j", Queue: "open", Spec: JobSpec{DeadlineMS: 1}}}, {Expire: &Expire{}}},
			cmd: assign("j", "w0", "1"), want: CodeStale},
		{name: "instance of another plan", setup: []Command{draining}, cmd: Command{Maintenance: &PhaseChange{Steps: []PhaseStep{{Instance: "w0", Phase: PhaseRebooting}}}}, want: CodeStale},
		{name: "drain of a plan", setup: []Command{draining}, items: []ChangeItem{{Drain: &DrainRequest{Instance: "w0", Undo: true}}}, want: CodeInUse},
		{name: "paused plan", setup: []Command{{Change: &ConfigChange{RequestID: "pause", ExpectedRevision: 2, Items: []ChangeItem{{SetPlanState: &PlanStateChange{"m", PlanPaused}}}}}},
			cmd: draining, want: CodeStale},
		{name: "no body", cmd: Command{}, want: CodeInvalid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fx := newFixture(t)
			fx.mustApply(fx.change(ChangeItem{StartPlan: &MaintenancePlan{Name: "m", Pool: "p"}}))
			for _, cmd := range c.setup {
				fx.mustApply(cmd)
			}
			if c.items != nil {
				c.cmd = fx.change(c.items...)
			}
			before := encodeContent(t, fx.s)
			require.Equal(t, c.want, code(fx.apply(c.cmd)))
			require.Equal(t, before, encodeContent(t, fx.s), "a refused command changed the state")
		})
	}
}

// TestAttemptEnds guards against a non-idempotent job that is requeued after it may have
// run, an idempotent job that is not requeued, and a final record that wrongly says whether
// the job ran.
func TestAttemptEnds(t *testing.T) {
	lost := observe(Observation{Instance: "w0", Lost: true})
	restart := observe(announced("w0", "2"))
	cancel := Command{Cancel: &JobCancel{ID: "j", Team: "a"}}
	cases := []struct {
		name       string
		idempotent bool
		queue      string
		then       []Command
		want       JobState
		notRun     bool
	}{
		{"done", false, "q", []Command{outcome("j", 1, OutcomeDone)}, JobDone, false},
		{"not started", false, "q", []Command{outcome("j", 1, OutcomeNotStarted)}, JobQueued, false},
		{"failed", false, "q", []Command{outcome("j", 1, OutcomeFailed)}, JobFailed, false},
		{"failed, idempotent", true, "q", []Command{outcome("j", 1, OutcomeFailed)}, JobQueued, false},
		{"stopped", false, "q", []Command{outcome("j", 1, OutcomeStopped)}, JobMayHaveRun, false},
		{"worker lost", false, "q", []Command{lost}, JobMayHaveRun, false},
		{"worker lost, idempotent", true, "q", []Command{lost}, JobQueued, false},
		{"worker lost, kept", false, "watch", []Command{lost}, JobAssigned, false},
		{"worker restarted", false, "q", []Command{restart}, JobMayHaveRun, false},
		{"worker restarted, idempotent", true, "q", []Command{restart}, JobQueued, false},
		{"worker announced again", false, "q", []Command{observe(announced("w0", "1"))}, JobAssigned, false},
		{"outcome before restart", false, "q", []Command{outcome("j", 1, OutcomeDone), restart}, JobDone, false},
		{"result after loss", false, "q", []Command{lost, outcome("j", 1, OutcomeDone)}, JobDone, false},
		{"cancelled, not started", false, "q", []Command{cancel, outcome("j", 1, OutcomeNotStarted)}, JobCancelled, true},
		{"cancelled, stopped", true, "q", []Command{cancel, outcome("j", 1, OutcomeStopped)}, JobCancelled, false},
		{"cancelled, lost", true, "q", []Command{cancel, lost}, JobMayHaveRun, false},
		{"not started, cancelled", false, "q", []Command{outcome("j", 1, OutcomeNotStarted), cancel}, JobCancelled, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fx := newFixture(t)
			fx.mustApply(submit("j", "a", c.queue, c.idempotent))
			fx.mustApply(assign("j", "w0", "1"))
			for _, cmd := range c.then {
				fx.mustApply(cmd)
			}
			require.Equal(t, c.want, fx.s.Jobs["j"].State)
			require.Equal(t, c.notRun, fx.s.Jobs["j"].NotRun)
		})
	}
}

// TestFirstAnswers guards against a repeated change that is applied twice, or that is
// refused because its first application increased the revision.
func TestFirstAnswers(t *testing.T) {
	fx := newFixture(t)
	first := fx.change(ChangeItem{WithdrawKey: "ka"})
	other := fx.change(ChangeItem{WithdrawKey: "kb"})
	other.Change.RequestID = "other"
	r := fx.mustApply(first)
	require.Equal(t, Result{Revision: r.Revision, Resent: true}, fx.apply(first))
	conflict := fx.apply(other)
	require.Equal(t, CodeRevisionConflict, code(conflict))
	require.Equal(t, r.Revision, conflict.Refusal.PresentRevision)
	other.Change.RequestID = first.Change.RequestID
	require.Equal(t, CodeRequestIDReused, code(fx.apply(other)))
	require.False(t, fx.s.Config.Keys["kb"].Withdrawn)
	for i := range maxAnswers {
		c := fx.change(ChangeItem{PutDataCentre: &DataCentre{Name: "dc"}})
		c.Change.RequestID = fmt.Sprint("more-", i)
		fx.mustApply(c)
	}
	require.Len(t, fx.s.Answers, maxAnswers)
	require.Len(t, fx.s.Audit, maxAudit)
	require.Equal(t, CodeRevisionConflict, code(fx.apply(first)), "the oldest answer was not removed")
}

// TestWithdrawnKey guards against a job that is accepted after its key was withdrawn, and
// against a refusal of the repeated submission of a job that was accepted before.
func TestWithdrawnKey(t *testing.T) {
	fx := newFixture(t)
	fx.mustApply(submit("j", "a", "q", true))
	fx.mustApply(fx.change(ChangeItem{WithdrawKey: "ka"}))
	require.Equal(t, CodeKeyWithdrawn, code(fx.apply(submit("new", "a", "q", true))))
	require.True(t, fx.mustApply(submit("j", "a", "q", true)).Resent)
}

// TestRetention guards against records that are never removed, results that are removed
// early, and the identifier of a removed record that is accepted again. It also checks that
// submissions are refused only when MaxRetainedBytes is reached exactly.
func TestRetention(t *testing.T) {
	fx := newFixture(t)
	late := submit("late", "a", "q", true)
	late.Submit.Spec.DeadlineMS = 5
	fx.mustApply(late)
	fx.clock += 10
	require.True(t, fx.s.ExpireDue(fx.clock))
	fx.mustApply(Command{Expire: &Expire{}})
	require.Equal(t, JobCancelled, fx.s.Jobs["late"].State)
	require.True(t, fx.s.Jobs["late"].NotRun)
	fx.clock = fx.s.Jobs["late"].FinishedAt + jobRetentionMS - 2
	fx.mustApply(Command{Expire: &Expire{}})
	require.NotNil(t, fx.s.View("late"))
	fx.mustApply(Command{Expire: &Expire{}})
	require.Nil(t, fx.s.View("late"))
	require.Equal(t, CodeExpired, code(fx.apply(late)))
	fx.clock += tombstoneRetentionMS
	fx.mustApply(Command{Expire: &Expire{}})
	require.Empty(t, fx.s.Tombstones)
	for i := 0; ; i++ {
		big := submit(fmt.Sprint("big", i), "", "open", true)
		big.Submit.Spec.Payload = make([]byte, MaxBlobBytes)
		if code(fx.apply(big)) == CodeQueueFull && fx.s.Queued("open", "") < 3 {
			require.Equal(t, MaxRetainedBytes, fx.s.RetainedBytes())
			break
		}
		fx.mustApply(assign(big.Submit.ID, fmt.Sprint("w", i%3), "1"))
		fx.mustApply(Command{Outcome: &JobOutcomes{Outcomes: []JobOutcome{{JobID: big.Submit.ID, Attempt: 1, Kind: OutcomeDone, Result: make([]byte, MaxBlobBytes)}}}})
	}
}

// TestMaintenancePlan guards against a plan that finishes early or never, or that leaves an
// instance out of service.
func TestMaintenancePlan(t *testing.T) {
	fx := newFixture(t)
	fx.mustApply(fx.change(ChangeItem{StartPlan: &MaintenancePlan{Name: "m", Pool: "p"}}))
	for _, in := range []string{"w0", "w1", "w2"} {
		require.Equal(t, PlanRunning, fx.s.Plans["m"].State)
		for _, phase := range []InstancePhase{PhaseDraining, PhaseRebooting, PhaseVerifying, PhaseActive} {
			step := PhaseStep{Instance: in, Plan: "m", Phase: phase, Completed: phase == PhaseActive}
			fx.mustApply(Command{Maintenance: &PhaseChange{Steps: []PhaseStep{step}}})
		}
	}
	require.Equal(t, PlanDone, fx.s.Plans["m"].State)
	require.Zero(t, fx.s.Unavailable("p"))
	fx.mustApply(Command{InForce: &MarkInForce{Revision: fx.s.Config.Revision}})
	require.Equal(t, fx.s.Now, fx.s.Audit[len(fx.s.Audit)-1].InForceAt)
}

// TestRetainedRecordsFitIntoASnapshot guards against a state with more job records and
// tombstones than the decoder accepts, so that no store can restore its snapshot.
func TestRetainedRecordsFitIntoASnapshot(t *testing.T) {
	fx := newFixture(t)
	fx.s.Tombstones = make([]Tombstone, maxElements-1)
	fx.mustApply(submit("last", "a", "q", true))
	refused := fx.apply(submit("more", "a", "q", true))
	require.Equal(t, CodeQueueFull, code(refused))
	require.Positive(t, refused.Refusal.RetryAfterMS)
	fx.s.replaceByTombstone("last")
	data, err := fx.s.EncodeSnapshot()
	require.NoError(t, err)
	_, err = DecodeSnapshot(data)
	require.NoError(t, err)
}

// TestJobsOfRunningWorkersAreNotFreed guards against a job that is requeued while a
// partitioned worker still runs it, because its queue changed after the assignment or an
// operator declared the worker lost while it was in contact.
func TestJobsOfRunningWorkersAreNotFreed(t *testing.T) {
	fx := newFixture(t)
	fx.mustApply(submit("kept", "a", "watch", true))
	fx.mustApply(submit("stops", "a", "q", true))
	fx.mustApply(assign("kept", "w0", "1"))
	fx.mustApply(assign("stops", "w0", "1"))
	require.Equal(t, CodeInUse, code(fx.apply(fx.change(ChangeItem{DeclareLost: "w0"}))))
	watch, q := fx.s.Config.Queues["watch"], fx.s.Config.Queues["q"]
	watch.OnPartition, q.OnPartition = PartitionStop, PartitionKeep
	fx.mustApply(fx.change(ChangeItem{PutQueue: &watch}, ChangeItem{PutQueue: &q}))
	fx.mustApply(observe(Observation{Instance: "w0", Incarnation: "1", Lost: true}))
	require.Equal(t, JobAssigned, fx.s.Jobs["kept"].State)
	require.Equal(t, JobQueued, fx.s.Jobs["stops"].State)
	fx.mustApply(fx.change(ChangeItem{DeclareLost: "w0"}))
	require.Equal(t, JobQueued, fx.s.Jobs["kept"].State)
}

// TestLostInstanceUnderMaintenanceCanBeDeleted guards against a maintenance plan that never
// finishes because an instance does not return from its reboot and can't be deleted.
func TestLostInstanceUnderMaintenanceCanBeDeleted(t *testing.T) {
	fx := newFixture(t)
	remove := ChangeItem{Delete: &EntityRef{EntityInstance, "w0"}}
	fx.mustApply(fx.change(ChangeItem{StartPlan: &MaintenancePlan{Name: "m", Pool: "p"}},
		ChangeItem{Delete: &EntityRef{EntityInstance, "w1"}}, ChangeItem{Delete: &EntityRef{EntityInstance, "w2"}}))
	for _, phase := range []InstancePhase{PhaseDraining, PhaseRebooting} {
		fx.mustApply(Command{Maintenance: &PhaseChange{Steps: []PhaseStep{{Instance: "w0", Plan: "m", Phase: phase}}}})
		require.Equal(t, CodeInUse, code(fx.apply(fx.change(remove))))
	}
	fx.mustApply(observe(Observation{Instance: "w0", Incarnation: "1", Lost: true}))
	fx.mustApply(fx.change(remove))
	require.Equal(t, PlanDone, fx.s.Plans["m"].State)
}
