package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/leader"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	// proposeTimeout is the default time limit of a submission or cancellation.
	proposeTimeout = 5 * time.Second
	// jobWaitLimit bounds wait_ms.
	jobWaitLimit = 60 * time.Second
	// jobWaitChunk bounds one held request, so that a lost leader is noticed.
	jobWaitChunk = 2 * time.Second
	// maxJobWaits bounds the held requests at the leader. The connection carries
	// 4096 requests at once, and the renewal of the lease must find room.
	maxJobWaits = 1024
)

// handleSubmit serves POST /v1/queues/:queue/jobs.
func (e *Entry) handleSubmit(c echo.Context) error {
	from, refusal := e.identify(c)
	if refusal == nil {
		var submit fleet.JobSubmit
		if submit, refusal = e.parseSubmit(c, from.id); refusal == nil {
			return e.submit(c, from, submit)
		}
	}
	return e.refuseJob(c, from, refusal)
}

func (e *Entry) parseSubmit(c echo.Context, id string) (fleet.JobSubmit, *api.Refusal) {
	submit := fleet.JobSubmit{ID: id, Queue: c.Param("queue")}
	config, _ := e.lease.view(e.clock())
	if config == nil {
		return submit, api.RetryLater(api.CodeNoLease, "this entry has no configuration yet", leaseRetry())
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

func (e *Entry) submit(c echo.Context, from caller, submit fleet.JobSubmit) error {
	result, refusal := e.propose(c, fleet.Command{Submit: &submit})
	if refusal != nil {
		return e.refuseJob(c, from, refusal)
	}
	c.Response().Header().Set(api.HeaderRequestID, from.id)
	c.Response().Header().Set(api.HeaderVerdict, string(api.Done))
	return c.JSON(http.StatusAccepted, result.Job)
}

// handleCancel serves DELETE /v1/jobs/:id.
func (e *Entry) handleCancel(c echo.Context) error {
	from := caller{id: c.Param("id"), first: true}
	team, refusal := e.jobTeam(c)
	if refusal != nil {
		return e.refuseJob(c, from, refusal)
	}
	cancel := fleet.JobCancel{ID: from.id, Team: team}
	result, refusal := e.propose(c, fleet.Command{Cancel: &cancel})
	if refusal != nil {
		return e.refuseJob(c, from, refusal)
	}
	c.Response().Header().Set(api.HeaderVerdict, string(api.Done))
	return c.JSON(http.StatusOK, api.CancelReply{Job: result.Job, Ran: ran(result.Job)})
}

// ran states what is known about whether a job ran.
func ran(job *fleet.Job) string {
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
	from := caller{id: c.Param("id"), first: true}
	team, refusal := e.jobTeam(c)
	if refusal != nil {
		return e.refuseJob(c, from, refusal)
	}
	wait, refusal := waitTime(c.QueryParam("wait_ms"))
	if refusal != nil {
		return e.refuseJob(c, from, refusal)
	}
	job, refusal := e.waitJob(c.Request().Context(), from.id, team, wait)
	if refusal != nil {
		return e.refuseJob(c, from, refusal)
	}
	if job == nil || job.Team != "" && job.Team != team {
		return e.refuseJob(c, from, unknownJob(http.StatusNotFound, api.CodeNotFound, "no such job"))
	}
	c.Response().Header().Set(api.HeaderVerdict, string(api.Done))
	return c.JSON(http.StatusOK, job)
}

// cutOff reports whether the entry has been without the leader for longer than a
// lease, so that a request to it would only use up the caller's time.
func (e *Entry) cutOff() bool {
	_, valid := e.lease.view(e.clock())
	return !valid
}

func noLeader() *api.Refusal {
	refusal := api.UnknownOutcome(api.CodeNoQuorum, "no leading store answered")
	refusal.RetryAfterMS = defaultRetryAfter.Milliseconds()
	return refusal
}

// unknownJob answers for a job without a record. A submission of it may still be
// on its way to the leader, or its record may have expired, so the answer does not
// say that the job was not run.
func unknownJob(status int, code api.Code, message string) *api.Refusal {
	refusal := api.UnknownOutcome(code, message)
	refusal.Status = status
	return refusal
}

// waitJob asks for a job until it is final, the wait is over, or a planned stop
// begins.
func (e *Entry) waitJob(ctx context.Context, id, team string, wait time.Duration) (*fleet.Job, *api.Refusal) {
	end := e.clock().Add(wait)
	for {
		if e.cutOff() {
			return nil, noLeader()
		}
		left := max(end.Sub(e.clock()), 0)
		hold := min(left, jobWaitChunk)
		reply, err := e.askInTurn(ctx, id, team, hold)
		if err != nil {
			return nil, noLeader()
		}
		if reply.Expired {
			return nil, unknownJob(http.StatusGone, api.CodeRequestIDExpired, "the record of this job is no longer kept")
		}
		if reply.Job == nil || reply.Job.State.Final() || left <= hold || ctx.Err() != nil || e.stopping.Load() {
			return reply.Job, nil
		}
	}
}

// askInTurn asks for a job with one of the maxJobWaits held requests, or after the
// hold time without holding the request.
func (e *Entry) askInTurn(ctx context.Context, id, team string, hold time.Duration) (wire.JobWaitReply, error) {
	if hold <= 0 {
		return e.askJob(ctx, id, team, 0)
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	began := time.Now()
	select {
	case e.jobWaits <- struct{}{}:
		defer func() { <-e.jobWaits }()
		hold = max(hold-time.Since(began), 0)
	case <-timer.C:
		hold = 0
	case <-ctx.Done():
		hold = 0
	}
	return e.askJob(ctx, id, team, hold)
}

func (e *Entry) askJob(ctx context.Context, id, team string, hold time.Duration) (wire.JobWaitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, hold+proposeTimeout)
	defer cancel()
	var reply wire.JobWaitReply
	msg := wire.JobWaitRequest{ID: id, Team: team, WaitMS: hold.Milliseconds()}
	err := e.leader.Call(ctx, wire.TypeJobWait, msg, &reply, hold)
	return reply, err
}

// jobTeam returns the team of the caller's key; callers without a key may see the
// jobs of open queues.
func (e *Entry) jobTeam(c echo.Context) (string, *api.Refusal) {
	key := c.Request().Header.Get(api.HeaderKey)
	if key == "" {
		return "", nil
	}
	team, _, refusal := e.authorize(key)
	return team, refusal
}

func waitTime(text string) (time.Duration, *api.Refusal) {
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms < 0 {
		return 0, api.Refuse(http.StatusBadRequest, api.CodeBadRequest, "wait_ms is not a number of milliseconds")
	}
	return min(time.Duration(ms)*time.Millisecond, jobWaitLimit), nil
}

// propose submits a command to the leading store. It carries on when the caller
// is gone, since the command may already be on its way.
func (e *Entry) propose(c echo.Context, cmd fleet.Command) (fleet.Result, *api.Refusal) {
	limit, refusal := timeLimit(c.Request().Header.Get(api.HeaderTimeoutMS), fleet.Service{TimeoutMS: proposeTimeout.Milliseconds()})
	if refusal != nil {
		return fleet.Result{}, refusal
	}
	if e.cutOff() {
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

// proposeRefusal answers a command that no leader acknowledged.
func proposeRefusal(err error) *api.Refusal {
	var unavailable *leader.ErrUnavailable
	if errors.As(err, &unavailable) && !unavailable.Unsent {
		refusal := api.UnknownOutcome(api.CodeNoQuorum, "no leading store acknowledged the request")
		refusal.RetryAfterMS = defaultRetryAfter.Milliseconds()
		return refusal
	}
	return api.RetryLater(api.CodeNoQuorum, "no leading store took the request", defaultRetryAfter)
}

// commandRefusal translates a refusal of the replicated state.
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

func (e *Entry) refuseJob(c echo.Context, from caller, refusal *api.Refusal) error {
	req := &callRequest{id: from.id, first: from.first, retry: from.retry}
	return e.respond(c, from.id, asAnswer(soften(req, refusal)))
}

// decodeJSON decodes a JSON body of bounded size.
func decodeJSON(c echo.Context, limit int64, v any) *api.Refusal {
	data, refusal := readLimited(c, limit)
	if refusal != nil {
		return refusal
	}
	if err := json.Unmarshal(data, v); err != nil {
		return api.Refuse(http.StatusBadRequest, api.CodeBadRequest, "the request body is not valid JSON: "+err.Error())
	}
	return nil
}
