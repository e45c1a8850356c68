package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/leader"
	"github.com/samphirefork/samphirefork/internal/strictjson"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	// proposeTimeout is the default time limit of the submission or cancellation of
	// a job, the time limit of a request about a step job, and the time limit of a
	// job query in addition to its hold time.
	proposeTimeout = 5 * time.Second
	// maxJobWait is the upper bound of wait_ms; longer waits are shortened to it.
	maxJobWait = 60 * time.Second
	// maxJobHold is the longest time for which the leader holds one job query. It
	// is short so that the loss of the leader is noticed.
	maxJobHold = 2 * time.Second
	// maxHeldJobRequests bounds the job queries that the leader holds for this
	// entry at once. The connection carries 4096 requests at once, and lease
	// renewals need room among them.
	maxHeldJobRequests = 1024
)

// handleSubmit serves POST /v1/queues/:queue/jobs.
func (e *Entry) handleSubmit(c echo.Context) error {
	identity, refusal := e.identify(c)
	if refusal == nil {
		var submit fleet.JobSubmit
		if submit, refusal = e.parseSubmit(c, identity.id); refusal == nil {
			return e.submit(c, identity, submit)
		}
	}
	return e.refuseJob(c, identity, refusal)
}

func (e *Entry) parseSubmit(c echo.Context, id string) (fleet.JobSubmit, *api.Refusal) {
	submit := fleet.JobSubmit{ID: id, Queue: c.Param("queue")}
	config, _ := e.lease.view(e.clock())
	if config == nil {
		return submit, api.RetryLater(api.CodeNoLease, "this entry has no configuration yet", jitteredLeaseRetryAfter())
	}
	queue, ok := config.Queues[submit.Queue]
	if !ok {
		return submit, api.Refuse(http.StatusNotFound, api.CodeNotFound, "no such queue")
	}
	if !queue.Open {
		team, keyID, refusal := e.authorize(c.Request().Header.Get(api.HeaderKey))
		if refusal != nil {
			return submit, refusal
		}
		submit.Team, submit.KeyID = team, keyID
	}
	refusal := decodeJSON(c, maxRequestBytes, &submit.Spec)
	return submit, refusal
}

func (e *Entry) submit(c echo.Context, identity requestIdentity, submit fleet.JobSubmit) error {
	result, refusal := e.propose(c, fleet.Command{Submit: &submit})
	if refusal != nil {
		return e.refuseJob(c, identity, refusal)
	}
	c.Response().Header().Set(api.HeaderRequestID, identity.id)
	c.Response().Header().Set(api.HeaderVerdict, string(api.Done))
	return c.JSON(http.StatusAccepted, result.Job)
}

// handleCancel serves DELETE /v1/jobs/:id.
func (e *Entry) handleCancel(c echo.Context) error {
	identity := requestIdentity{id: c.Param("id"), firstAttempt: true}
	team, refusal := e.jobTeam(c)
	if refusal != nil {
		return e.refuseJob(c, identity, refusal)
	}
	cancel := fleet.JobCancel{ID: identity.id, Team: team}
	result, refusal := e.propose(c, fleet.Command{Cancel: &cancel})
	if refusal != nil {
		return e.refuseJob(c, identity, refusal)
	}
	c.Response().Header().Set(api.HeaderVerdict, string(api.Done))
	return c.JSON(http.StatusOK, api.CancelReply{Job: result.Job, Ran: ranStatus(result.Job)})
}

// ranStatus returns whether a job ran: "yes", "no", or "maybe" if that is not
// known.
func ranStatus(job *fleet.Job) string {
	switch {
	case job == nil:
		return "maybe"
	case job.Started || job.State == fleet.JobDone || job.State == fleet.JobFailed:
		return "yes"
	case job.State == fleet.JobCancelled || job.State == fleet.JobQueued:
		return "no"
	default:
		return "maybe"
	}
}

// handleGetJob serves GET /v1/jobs/:id.
func (e *Entry) handleGetJob(c echo.Context) error {
	identity := requestIdentity{id: c.Param("id"), firstAttempt: true}
	team, refusal := e.jobTeam(c)
	if refusal != nil {
		return e.refuseJob(c, identity, refusal)
	}
	wait, refusal := parseWait(c.QueryParam("wait_ms"))
	if refusal != nil {
		return e.refuseJob(c, identity, refusal)
	}
	job, refusal := e.waitForJob(c.Request().Context(), identity.id, team, wait)
	if refusal != nil {
		return e.refuseJob(c, identity, refusal)
	}
	if job == nil || job.Team != "" && job.Team != team {
		return e.refuseJob(c, identity, unknownJobRefusal(http.StatusNotFound, api.CodeNotFound, "no such job"))
	}
	c.Response().Header().Set(api.HeaderVerdict, string(api.Done))
	return c.JSON(http.StatusOK, job)
}

// leaseExpired reports whether the entry has no valid lease. Such an entry has had
// no contact with the leader for longer than a lease, and a request to the leader
// would only use up the caller's time limit.
func (e *Entry) leaseExpired() bool {
	_, valid := e.lease.view(e.clock())
	return !valid
}

func noLeaderRefusal() *api.Refusal {
	refusal := api.UnknownOutcome(api.CodeNoQuorum, "no leading store answered")
	refusal.RetryAfterMS = defaultRetryAfter.Milliseconds()
	return refusal
}

// unknownJobRefusal is the answer for a job without a record. A submission of the
// job may still be on its way to the leader, or its record may have expired, so the
// verdict is may_have_run.
func unknownJobRefusal(status int, code api.Code, message string) *api.Refusal {
	refusal := api.UnknownOutcome(code, message)
	refusal.Status = status
	return refusal
}

// waitForJob queries a job until it is final, the wait is over, ctx ends, or a
// planned stop begins. The job is nil if it has no record.
func (e *Entry) waitForJob(ctx context.Context, id, team string, wait time.Duration) (*fleet.Job, *api.Refusal) {
	end := e.clock().Add(wait)
	for {
		if e.leaseExpired() {
			return nil, noLeaderRefusal()
		}
		remaining := max(end.Sub(e.clock()), 0)
		hold := min(remaining, maxJobHold)
		reply, err := e.longPollJob(ctx, id, team, hold)
		if err != nil {
			return nil, noLeaderRefusal()
		}
		if reply.Expired {
			return nil, unknownJobRefusal(http.StatusGone, api.CodeRequestIDExpired, "the record of this job is no longer kept")
		}
		if reply.Job == nil || reply.Job.State.Final() || remaining <= hold || ctx.Err() != nil || e.stopping.Load() {
			return reply.Job, nil
		}
	}
}

// longPollJob queries a job and lets the leader hold the query until the job is
// final. It needs one of the maxHeldJobRequests; if none becomes free within the
// hold time, it queries the job once without holding.
func (e *Entry) longPollJob(ctx context.Context, id, team string, hold time.Duration) (wire.JobWaitReply, error) {
	if hold <= 0 {
		return e.queryJob(ctx, id, team, 0)
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	began := time.Now()
	select {
	case e.heldJobRequests <- struct{}{}:
		defer func() { <-e.heldJobRequests }()
		hold = max(hold-time.Since(began), 0)
	case <-timer.C:
		hold = 0
	case <-ctx.Done():
		hold = 0
	}
	return e.queryJob(ctx, id, team, hold)
}

func (e *Entry) queryJob(ctx context.Context, id, team string, hold time.Duration) (wire.JobWaitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, hold+proposeTimeout)
	defer cancel()
	var reply wire.JobWaitReply
	msg := wire.JobWaitRequest{ID: id, Team: team, WaitMS: hold.Milliseconds()}
	err := e.leader.Call(ctx, wire.TypeJobWait, msg, &reply, hold)
	return reply, err
}

// jobTeam returns the team of the caller's key, or "" for a caller without a key,
// who can only see the jobs of open queues.
func (e *Entry) jobTeam(c echo.Context) (string, *api.Refusal) {
	key := c.Request().Header.Get(api.HeaderKey)
	if key == "" {
		return "", nil
	}
	team, _, refusal := e.authorize(key)
	return team, refusal
}

// parseWait parses wait_ms and limits it to maxJobWait.
func parseWait(text string) (time.Duration, *api.Refusal) {
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms < 0 {
		return 0, api.Refuse(http.StatusBadRequest, api.CodeBadRequest, "wait_ms is not a number of milliseconds")
	}
	return min(time.Duration(ms)*time.Millisecond, maxJobWait), nil
}

// propose submits a command to the leading store. It continues after the caller has
// disconnected, since the command may already be on its way.
func (e *Entry) propose(c echo.Context, cmd fleet.Command) (fleet.Result, *api.Refusal) {
	limit, refusal := parseTimeLimit(c.Request().Header.Get(api.HeaderTimeoutMS), fleet.Service{TimeoutMS: proposeTimeout.Milliseconds()})
	if refusal != nil {
		return fleet.Result{}, refusal
	}
	if e.leaseExpired() {
		return fleet.Result{}, api.RetryLater(api.CodeNoQuorum, "this entry has no contact with the leading store", leaseRetryAfter)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), limit)
	defer cancel()
	var reply wire.ProposeReply
	err := e.leader.Call(ctx, wire.TypePropose, wire.ProposeRequest{Command: cmd}, &reply, 0)
	if err != nil {
		return reply.Result, proposeRefusal(err)
	}
	if reply.Result.Refusal != nil {
		return reply.Result, commandRefusal(reply.Result.Refusal)
	}
	return reply.Result, nil
}

// proposeRefusal is the answer to a command that no leader acknowledged. The
// verdict is may_have_run if a store may have received the command. A command that no
// store will ever take is a bad request.
func proposeRefusal(err error) *api.Refusal {
	var unavailable *leader.ErrUnavailable
	var body *wire.ErrorBody
	switch {
	case errors.As(err, &unavailable) && !unavailable.Unsent:
		refusal := api.UnknownOutcome(api.CodeNoQuorum, "no leading store acknowledged the request")
		refusal.RetryAfterMS = defaultRetryAfter.Milliseconds()
		return refusal
	case errors.Is(err, wire.ErrTooLarge):
		return api.Refuse(http.StatusBadRequest, api.CodeTooLarge, "the request is too large")
	case errors.As(err, &body) && body.Code == wire.CodeBadMessage:
		return api.Refuse(http.StatusBadRequest, api.CodeBadRequest, body.Message)
	}
	return api.RetryLater(api.CodeNoQuorum, "no leading store took the request", defaultRetryAfter)
}

// commandRefusal converts a refusal by the replicated state machine into the answer
// to the caller.
func commandRefusal(r *fleet.Refusal) *api.Refusal {
	after := defaultRetryAfter
	if r.RetryAfterMS > 0 {
		after = time.Duration(r.RetryAfterMS) * time.Millisecond
	}
	switch r.Code {
	case fleet.CodeNotFound:
		return api.Refuse(http.StatusNotFound, api.CodeNotFound, r.Message)
	case fleet.CodeRequestIDReused:
		return api.Refuse(http.StatusConflict, api.CodeRequestIDReused, r.Message)
	case fleet.CodeKeyWithdrawn:
		return api.Refuse(http.StatusForbidden, api.CodeKeyWithdrawn, r.Message)
	case fleet.CodeUnauthorized:
		return api.Refuse(http.StatusForbidden, api.CodeWrongTeam, r.Message)
	case fleet.CodeInvalid:
		return api.Refuse(http.StatusBadRequest, api.CodeBadRequest, r.Message)
	case fleet.CodeLimit:
		return api.RetryLater(api.CodeLimit, r.Message, after)
	default:
		return api.RetryLater(api.CodeQueueFull, r.Message, after)
	}
}

// refuseJob responds with a refusal, as may_have_run if an earlier attempt may have
// run.
func (e *Entry) refuseJob(c echo.Context, identity requestIdentity, refusal *api.Refusal) error {
	req := &callRequest{id: identity.id, firstAttempt: identity.firstAttempt, retry: identity.retry}
	return e.respond(c, identity.id, refusalToAnswer(weakenVerdict(req, refusal)))
}

// decodeJSON decodes a JSON request body of at most limit bytes into v.
func decodeJSON(c echo.Context, limit int64, v any) *api.Refusal {
	data, refusal := readLimited(c, limit)
	if refusal != nil {
		return refusal
	}
	if err := strictjson.Unmarshal(data, v); err != nil {
		return api.Refuse(http.StatusBadRequest, api.CodeBadRequest, "the request body is not valid JSON: "+err.Error())
	}
	return nil
}
