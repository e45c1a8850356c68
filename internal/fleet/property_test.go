package fleet

import (
	"bytes"
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The fixed seed makes every run check the same histories. -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// history is a random sequence of commands, together with what the properties are checked
// against.
type history struct {
	*fixture
	cmds []Command
	// mayHaveRun holds the non-idempotent jobs with an assigned attempt, until its outcome
	// is that it was not started.
	mayHaveRun map[string]bool
	// pastConfigs holds the configuration after each command.
	pastConfigs []*Config
}

func (h *history) step(rt *rapid.T, cmd Command) {
	before, rev := encodeContent(rt, h.s), h.s.Config.Revision
	units := map[string]int{}
	attempts := map[string]int{}
	for _, team := range []string{"a", "b"} {
		units[team] = h.s.Running(team) + h.s.Granted(team)
	}
	for id, j := range h.s.Jobs {
		attempts[id] = j.Attempt
	}
	encoded, err := h.s.EncodeSnapshot()
	require.NoError(rt, err)
	captured := make(chan []byte, 1)
	encode := h.s.Capture()
	go func() {
		data, _ := encode()
		captured <- data
	}()
	r := h.apply(cmd)
	require.True(rt, bytes.Equal(encoded, <-captured), "a captured snapshot includes a later command")
	cmd.Time = h.clock
	h.cmds = append(h.cmds, cmd)
	if r.Refusal != nil {
		require.Equal(rt, before, encodeContent(rt, h.s), "a refused command changed the state")
	}
	require.GreaterOrEqual(rt, h.s.Config.Revision, rev)
	for team, was := range units {
		now := h.s.Running(team) + h.s.Granted(team)
		require.LessOrEqual(rt, now, max(was, h.s.Config.Teams[team].Limit), "running jobs and grants exceed the limit of team %s", team)
	}
	h.checkJobs(rt, cmd, r, attempts)
	for _, in := range h.s.Config.Instances {
		require.Contains(rt, h.s.Config.Pools, in.Pool)
	}
	h.pastConfigs = append(h.pastConfigs, h.s.Config.Clone())
}

func (h *history) checkJobs(rt *rapid.T, cmd Command, r Result, attempts map[string]int) {
	if o := cmd.Outcome; o != nil && r.Rejected == nil && o.Outcomes[0].Kind == OutcomeNotStarted {
		delete(h.mayHaveRun, o.Outcomes[0].JobID)
	}
	for id, j := range h.s.Jobs {
		if j.Attempt == attempts[id] || j.Spec.Idempotent {
			continue
		}
		require.False(rt, h.mayHaveRun[id], "job %s assigned twice", id)
		h.mayHaveRun[id] = true
	}
}

// drawCommand draws a command on a few jobs, workers and teams, so that commands often affect
// the same ones.
func (h *history) drawCommand(rt *rapid.T) Command {
	job := rapid.SampledFrom([]string{"j0", "j1", "j2", "j3"}).Draw(rt, "job")
	worker := rapid.SampledFrom([]string{"w0", "w1", "w2"}).Draw(rt, "worker")
	team := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "team")
	n := rapid.SampledFrom([]int{0, 1, 2, 3}).Draw(rt, "n")
	incarnation := h.s.Status[worker].Incarnation
	switch rapid.SampledFrom([]int{0, 0, 0, 2, 2, 2, 4, 4, 6, 7, 8, 9, 10, 11, 11}).Draw(rt, "kind") {
	case 0:
		queue := rapid.SampledFrom([]string{"q", "watch"}).Draw(rt, "queue")
		return submit(job, team, queue, n < 2)
	case 2:
		return assign(job, worker, incarnation)
	case 4:
		kinds := []OutcomeKind{OutcomeDone, OutcomeFailed, OutcomeNotStarted, OutcomeStopped, OutcomeLost}
		attempt := 1
		if j := h.s.Jobs[job]; j != nil && n > 0 {
			attempt = j.Attempt
		}
		return outcome(job, attempt, rapid.SampledFrom(kinds).Draw(rt, "outcome"))
	case 6:
		if n == 0 {
			return observe(Observation{Instance: worker, Lost: true})
		}
		return observe(announced(worker, fmt.Sprint(n)))
	case 7:
		return Command{Grant: &GrantChange{fmt.Sprint("e", n%2), map[string]int{team: n}}}
	case 8:
		return Command{Cancel: &JobCancel{ID: job, Team: team}}
	case 9:
		phase := rapid.SampledFrom([]InstancePhase{PhaseActive, PhaseDraining, PhaseRebooting, PhaseVerifying}).Draw(rt, "phase")
		return Command{Maintenance: &PhaseChange{Steps: []PhaseStep{{Instance: worker, Phase: phase}}}}
	case 10:
		h.clock += Time(rapid.SampledFrom([]int{0, 0, dayMS / 2}).Draw(rt, "days"))
		return Command{Expire: &Expire{}}
	default:
		return h.drawChange(rt, worker, team, n)
	}
}

func (h *history) drawChange(rt *rapid.T, worker, team string, n int) Command {
	items := []ChangeItem{
		{PutTeam: &Team{Name: team, Share: 1, Limit: n}},
		{WithdrawKey: "kb"},
		{Delete: &EntityRef{EntityTeam, team}},
		{Drain: &DrainRequest{Instance: worker, Undo: n%2 == 0}},
		{PutInstance: &Instance{Name: worker, Pool: "spare", DataCentre: "dc", Kind: KindWorker}},
		{PutInstance: &Instance{Name: worker, Pool: "p", DataCentre: "dc", Kind: KindWorker}},
		{Delete: &EntityRef{EntityPool, "spare"}},
		{PutPool: &Pool{Name: "spare", MaxUnavailable: n}},
		{DeclareLost: worker},
		{Evacuate: &EvacuationRequest{DataCentre: "dc", End: n%2 == 0}},
	}
	cmd := h.change(rapid.SampledFrom(items).Draw(rt, "item"), rapid.SampledFrom(items).Draw(rt, "second"))
	if n == 3 {
		cmd = Command{Move: &PoolMove{Instance: worker, From: "p", To: "spare"}}
	}
	return cmd
}

// TestProperties guards against replicas that diverge after a replay or a restored snapshot,
// an index that does not match the state, a delta that does not yield the present
// configuration, new work beyond the limit of its team, and a non-idempotent job that is
// assigned again after it may have run.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &history{fixture: newFixture(rt), mayHaveRun: map[string]bool{}}
		start, err := h.s.EncodeSnapshot()
		require.NoError(rt, err)
		steps := rapid.SampledFrom([]int{1, 20, 60}).Draw(rt, "steps")
		for range steps {
			h.step(rt, h.drawCommand(rt))
		}
		replayed := replay(rt, start, h.cmds, h.lastIndex-uint64(steps), -1)
		require.Equal(rt, encodeContent(rt, h.s), encodeContent(rt, replayed))
		cut := rapid.IntRange(0, steps-1).Draw(rt, "cut")
		restored := replay(rt, start, h.cmds, h.lastIndex-uint64(steps), cut)
		require.Equal(rt, encodeContent(rt, h.s), encodeContent(rt, restored))
		rebuilt := *h.s
		rebuilt.rebuild()
		rebuilt.index.answerBase = h.s.index.answerBase
		require.Equal(rt, h.s.index, rebuilt.index)
		for _, c := range h.pastConfigs {
			d, ok := h.s.ConfigSince(c.Revision)
			require.True(rt, ok)
			got, ok := c.WithDelta(d)
			require.True(rt, ok)
			require.Equal(rt, &h.s.Config, got)
		}
	})
}

// replay restores a snapshot and applies commands to it. Before the command at index cut it
// takes and restores another snapshot; with -1 it takes none.
func replay(rt *rapid.T, start []byte, cmds []Command, index uint64, cut int) *State {
	s, err := DecodeSnapshot(start)
	require.NoError(rt, err)
	for i, cmd := range cmds {
		if i == cut {
			data, err := s.EncodeSnapshot()
			require.NoError(rt, err)
			s, err = DecodeSnapshot(data)
			require.NoError(rt, err)
		}
		data, err := EncodeCommand(cmd)
		require.NoError(rt, err)
		cmd, err = DecodeCommand(data)
		require.NoError(rt, err)
		s.Apply(index+uint64(i)+1, cmd)
	}
	return s
}

// FuzzDecodeSnapshot guards against a corrupt snapshot that makes a store panic.
func FuzzDecodeSnapshot(f *testing.F) {
	data, err := newFixture(f).s.EncodeSnapshot()
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := DecodeSnapshot(data)
		if err != nil {
			require.ErrorIs(t, err, ErrSnapshot)
			return
		}
		_, err = s.EncodeSnapshot()
		require.NoError(t, err)
	})
}

// FuzzDecodeCommand guards against a log entry that makes every replica panic.
func FuzzDecodeCommand(f *testing.F) {
	fx := newFixture(f)
	for _, cmd := range []Command{submit("j", "a", "q", true), assign("j", "w0", "1"), outcome("j", 1, OutcomeLost), fx.change(ChangeItem{WithdrawKey: "ka"})} {
		data, err := EncodeCommand(cmd)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		cmd, err := DecodeCommand(data)
		if err != nil {
			require.ErrorIs(t, err, ErrCommand)
			return
		}
		newFixture(t).apply(cmd)
	})
}
