package intake

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
	"github.com/samphirefork/samphirefork/internal/workload"
)

// maxConfigChanges bounds how often a call is judged anew because the configuration has changed
// meanwhile.
const maxConfigChanges = 5

// errConfigChanged means that the configuration by which a call was judged is no longer in force. Nothing
// was changed.
var errConfigChanged = errors.New("intake: the configuration has changed")

// idDigits is the length of a job identifier, in hexadecimal digits.
const idDigits = 16

// Server answers the calls that entries forward to the leader. It implements store.Component.
type Server struct {
	log     fleet.Log
	changed func()
	logger  zerolog.Logger
	// routes is the index of the configuration in force; buildingRoutes is held while it is
	// built.
	routes         atomic.Pointer[Routes]
	buildingRoutes sync.Mutex
	calls          metrics.Timer
	refused        metrics.Counter
	gate           gate
	// unresolved holds the submissions whose outcome is not known.
	unresolved *recentIDs
	attempts   attempts
}

// DefaultMaxActiveBytes bounds the memory of the jobs under way where no other bound is set.
const DefaultMaxActiveBytes = 32 << 20

// NewServer returns a server. It calls changed after each submission or cancellation that
// the log has applied. maxActiveBytes bounds the memory of the jobs that have not ended; 0 is no
// bound. A store takes several times as much while it writes a snapshot.
func NewServer(log fleet.Log, changed func(), maxActiveBytes int64, registry metrics.Registry, logger zerolog.Logger) *Server {
	return &Server{
		log: log, changed: changed, logger: logger, unresolved: newRecentIDs(unresolvedRetention),
		attempts: attempts{underWay: map[string]*attempt{}},
		gate:     gate{backlogs: backlogs{maxBytes: maxActiveBytes}},
		calls:    metrics.GetOrRegisterTimer("intake_call_seconds", registry),
		refused:  metrics.GetOrRegisterCounter("intake_refused_jobs_total", registry),
	}
}

// Register implements store.Component.
func (s *Server) Register(mux wire.Mux) { mux[wire.TypeJobCall] = s.handle }

// Run implements store.Component.
func (s *Server) Run(context.Context) error { return nil }

func (s *Server) handle(ctx context.Context, req wire.Request) (any, error) {
	var call wire.JobCall
	if err := req.Decode(&call); err != nil {
		return nil, err
	}
	var reply wire.JobCallReply
	var err error
	s.calls.Time(func() { reply, err = s.answerAsLeader(ctx, call) })
	if err != nil {
		return nil, s.asWireError(err)
	}
	s.logger.Debug().Str("from", req.From).Uint8("op", uint8(call.Op)).Str("host", call.Host).Str("path", call.Path).
		Uint8("verdict", uint8(reply.Verdict)).Str("state", string(reply.State)).Str("detail", reply.Detail).Msg("call answered")
	return reply, nil
}

// answerAsLeader answers a call while this store leads. An answer that rests on the state
// alone is given only if the store still leads after it has read the state: a process that
// was suspended in between would show an old state, or judge by a key that was withdrawn
// meanwhile. A committed change needs no such check.
func (s *Server) answerAsLeader(ctx context.Context, call wire.JobCall) (wire.JobCallReply, error) {
	if !s.log.Leadership().Leading {
		return wire.JobCallReply{}, fleet.ErrNotLeader
	}
	reply, err := s.answer(ctx, call)
	if err != nil {
		return wire.JobCallReply{}, err
	}
	if call.RepeatedAfterMS > 0 {
		reply = s.resolveRepetition(call, reply)
	}
	committed := reply.Verdict == wire.VerdictOK && (call.Op == wire.JobSubmit || call.Op == wire.JobCancel)
	if !committed && !s.log.Leadership().Leading {
		return wire.JobCallReply{}, fleet.ErrNotLeader
	}
	return reply, nil
}

// asWireError converts an error of the log to one for the wire. Any error but a lost
// leadership and a command that can't be stored leaves the outcome uncertain.
func (s *Server) asWireError(err error) error {
	switch {
	case errors.Is(err, fleet.ErrNotLeader):
		return &wire.ErrorBody{Code: wire.CodeNotLeader, Leader: s.log.Leadership().Leader}
	case errors.Is(err, fleet.ErrCommand):
		return &wire.ErrorBody{Code: wire.CodeBadMessage, Message: err.Error()}
	}
	return &wire.ErrorBody{Code: wire.CodeUncertain, Message: err.Error()}
}

// currentRoutes returns the index of the configuration in force, or nil if there is none
// yet. It is built once for a configuration, outside of the read: with thousands of queues
// that takes milliseconds, for which neither commits nor other calls should wait.
func (s *Server) currentRoutes() *Routes {
	var config workload.Config
	s.log.Read(func(st *fleet.State) { config = st.Workload.Config })
	if config.Version == 0 {
		return nil
	}
	if r := s.routes.Load(); r != nil && r.version == config.Version {
		return r
	}
	s.buildingRoutes.Lock()
	defer s.buildingRoutes.Unlock()
	if r := s.routes.Load(); r != nil && r.version >= config.Version {
		return r
	}
	r := NewRoutes(config)
	s.routes.Store(r)
	return r
}

// answer judges a call by one configuration. Names of queues and teams are those of others in the next one,
// so the call is judged anew if another comes into force meanwhile.
func (s *Server) answer(ctx context.Context, call wire.JobCall) (wire.JobCallReply, error) {
	judge := s.answerRouted
	if call.Queue != "" {
		judge = s.answerChecked
	}
	for range maxConfigChanges {
		reply, err := judge(ctx, call)
		if !errors.Is(err, errConfigChanged) {
			return reply, err
		}
	}
	return wire.JobCallReply{Verdict: wire.VerdictNoConfig, RetryAfterMS: electionRetryMS}, nil
}

// answerRouted answers a call whose queue and team are found by its place and key.
func (s *Server) answerRouted(ctx context.Context, call wire.JobCall) (wire.JobCallReply, error) {
	r := s.currentRoutes()
	if r == nil {
		return wire.JobCallReply{Verdict: wire.VerdictNoConfig, RetryAfterMS: electionRetryMS}, nil
	}
	q, rest, ok := r.Find(call.Host, call.Path)
	if !ok {
		return wire.JobCallReply{Verdict: wire.VerdictNoQueue}, nil
	}
	team, ok := r.Team(call.Key)
	if !ok && !q.Open {
		return wire.JobCallReply{Verdict: wire.VerdictBadKey}, nil
	}
	if q.Open {
		team = ""
	}
	if call.Op == wire.JobWaiting {
		return s.waiting(q), nil
	}
	if !validID(rest) {
		return wire.JobCallReply{Verdict: wire.VerdictNoJob, Detail: "the job identifier is not 16 hexadecimal digits"}, nil
	}
	t := target{queue: q, team: team, id: rest, version: r.version}
	switch call.Op {
	case wire.JobSubmit:
		return s.submit(ctx, t, call)
	case wire.JobCancel:
		return s.cancel(ctx, t)
	default:
		return s.status(t)
	}
}

// target is what a call is about: the job of a team in a queue, by the names of one version of the
// configuration.
type target struct {
	queue    workload.Queue
	team, id string
	version  int64
}

// find returns the job, or nil if there is none that the caller knows. The error is
// errConfigChanged if another configuration is in force.
func (t target) find(s *workload.State) (*workload.Job, error) {
	if s.Config.Version != t.version {
		return nil, errConfigChanged
	}
	if j, ok := s.Jobs[t.id]; ok && j.IsKnownTo(t.queue, t.team) {
		return j, nil
	}
	return nil, nil
}

// answerChecked answers a call for which the entry has checked the key and determined the
// queue, team and job.
func (s *Server) answerChecked(ctx context.Context, call wire.JobCall) (wire.JobCallReply, error) {
	t := target{team: call.Team, id: call.Job}
	found := false
	s.log.Read(func(st *fleet.State) {
		t.version = st.Workload.Config.Version
		t.queue, found = st.Workload.Config.Queues[call.Queue]
	})
	if !found {
		return wire.JobCallReply{Verdict: wire.VerdictNoQueue}, nil
	}
	switch call.Op {
	case wire.JobSubmit:
		return s.submit(ctx, t, call)
	case wire.JobCancel:
		return s.cancel(ctx, t)
	default:
		reply, err := s.status(t)
		s.log.Read(func(st *fleet.State) {
			if j, ok := st.Workload.Jobs[call.Job]; ok && reply.Verdict == wire.VerdictOK {
				reply.Steps = stepCounts(j)
			}
		})
		return reply, err
	}
}

func validID(id string) bool {
	if len(id) != idDigits {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

func (s *Server) waiting(q workload.Queue) wire.JobCallReply {
	reply := wire.JobCallReply{Verdict: wire.VerdictOK}
	s.log.Read(func(st *fleet.State) { reply.Waiting = st.Workload.WaitingJobs(q.Key()) })
	return reply
}

// status returns the state of a job. A job of another queue or team is reported as unknown.
func (s *Server) status(t target) (wire.JobCallReply, error) {
	reply := wire.JobCallReply{Verdict: wire.VerdictNoJob}
	var err error
	s.log.Read(func(st *fleet.State) {
		var j *workload.Job
		if j, err = t.find(st.Workload); j != nil {
			reply = wire.JobCallReply{Verdict: wire.VerdictOK, State: j.State}
		}
	})
	return reply, err
}

// stepCounts returns the numbers of tasks of each step, over all occurrences that have
// begun.
func stepCounts(j *workload.Job) []wire.StepCount {
	counts := make([]wire.StepCount, len(j.Steps))
	for _, o := range j.Occurrences {
		for i := range o.Steps {
			p := &o.Steps[i]
			running := p.Started()
			done := len(p.Tasks) - p.Waiting() - p.OnWorkers()
			counts[i].Tasks += len(p.Tasks)
			counts[i].Waiting += len(p.Tasks) - running - done
			counts[i].Running += running
			counts[i].Done += done
		}
	}
	return counts
}

// invalidContent returns the reason why the content of a submission is not valid, or "".
// The bounds are checked again here although entries check them: a command that exceeds
// them would fail on every store that applies it.
func invalidContent(call wire.JobCall) string {
	switch {
	case call.Invalid != "":
		return call.Invalid
	case call.Content == nil:
		return "the submission has no content"
	}
	if err := call.Content.CheckBounds(); err != nil {
		return err.Error()
	}
	return ""
}

func (s *Server) submit(ctx context.Context, t target, call wire.JobCall) (wire.JobCallReply, error) {
	id := t.id
	if reason := invalidContent(call); reason != "" {
		return wire.JobCallReply{Verdict: wire.VerdictInvalid, Detail: reason}, nil
	}
	s.attempts.begin(id)
	defer s.attempts.end(id)
	known := false
	var admission Admission
	applied := func() {}
	defer func() { applied() }()
	s.log.Read(func(st *fleet.State) {
		if _, known = st.Workload.Jobs[id]; !known {
			admission, applied = s.gate.decide(st.Workload, submission{id: id, team: t.team, queue: t.queue, content: call.Content}, time.Now())
		}
	})
	if admission.Reason != "" {
		if !s.attempts.alone(id) || s.unresolved.contains(id, time.Now()) {
			return wire.JobCallReply{}, errors.Wrap(fleet.ErrUncertain, "intake: another attempt may still be committed")
		}
		s.refused.Inc(1)
		s.logger.Info().Str("job", id).Str("queue", t.queue.Name).Str("team", t.team).Str("reason", string(admission.Reason)).
			Int64("retry_after_ms", admission.RetryAfterMS).Msg("job refused, not run")
		return wire.JobCallReply{Verdict: wire.VerdictOverloaded, RetryAfterMS: admission.RetryAfterMS, Detail: string(admission.Reason)}, nil
	}
	cmd := *call.Content
	cmd.ID, cmd.Queue, cmd.Team, cmd.ConfigVersion = id, t.queue.Name, t.team, t.version
	s.unresolved.add(id, time.Now())
	result, err := fleet.ProposeWorkload(ctx, s.log, &workload.Command{Submit: &cmd})
	if errors.Is(err, fleet.ErrCommand) {
		return wire.JobCallReply{Verdict: wire.VerdictInvalid, Detail: err.Error()}, nil
	}
	if err != nil {
		return wire.JobCallReply{}, err
	}
	s.unresolved.remove(id)
	s.changed()
	s.logger.Info().Str("job", id).Str("queue", t.queue.Name).Str("team", t.team).Int("steps", len(cmd.Steps)).
		Bool("known", result.Known).Str("refusal", string(result.Refusal)).Msg("job submitted")
	switch result.Refusal {
	case "":
		return wire.JobCallReply{Verdict: wire.VerdictOK, State: workload.JobQueued}, nil
	case workload.RefusedConfigChanged:
		return wire.JobCallReply{}, errConfigChanged
	case workload.RefusedNoQueue:
		return wire.JobCallReply{Verdict: wire.VerdictNoQueue}, nil
	default:
		return wire.JobCallReply{Verdict: wire.VerdictConflict, Detail: "the identifier was used for another job"}, nil
	}
}

func (s *Server) cancel(ctx context.Context, t target) (wire.JobCallReply, error) {
	if status, err := s.status(t); err != nil || status.Verdict == wire.VerdictNoJob {
		return status, err
	}
	key := t.queue.Key()
	result, err := fleet.ProposeWorkload(ctx, s.log, &workload.Command{Cancel: &workload.Cancel{ID: t.id, QueueKey: &key}})
	if err != nil {
		return wire.JobCallReply{}, err
	}
	s.changed()
	s.logger.Info().Str("job", t.id).Str("queue", t.queue.Name).Str("refusal", string(result.Refusal)).Msg("job cancelled")
	if result.Refusal != "" {
		return wire.JobCallReply{Verdict: wire.VerdictNoJob}, nil
	}
	return wire.JobCallReply{Verdict: wire.VerdictOK, State: workload.JobCancelled}, nil
}
