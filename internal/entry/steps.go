package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/leader"
	"github.com/samphirefork/samphirefork/internal/wire"
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// maxStepReportBytes bounds the report of a worker: 10,000 runs of 200 bytes each.
	maxStepReportBytes = 2 << 20
	// stepReportTimeout exceeds the time for which the leader holds a reply, and
	// equals the time after which workers give up on it.
	stepReportTimeout = time.Second
)

// handleSubmitSteps serves POST /v1/queues/:queue/step-jobs.
func (e *Entry) handleSubmitSteps(c echo.Context) error {
	identity, refusal := e.identify(c)
	if refusal != nil {
		return e.refuseJob(c, identity, refusal)
	}
	// Checked before the body is read, and again before the call is passed on.
	if _, refusal = e.stepTeam(c, c.Param("queue")); refusal != nil {
		return e.refuseJob(c, identity, refusal)
	}
	var content workload.Submit
	if refusal = decodeJSON(c, maxRequestBytes, &content); refusal != nil {
		return e.refuseJob(c, identity, refusal)
	}
	if err := content.Check(); err != nil {
		return e.refuseJob(c, identity, api.Refuse(http.StatusBadRequest, api.CodeBadRequest, err.Error()))
	}
	return e.stepCall(c, identity, wire.JobCall{Op: wire.JobSubmit, Job: identity.id, Content: &content})
}

// handleGetSteps serves GET /v1/queues/:queue/step-jobs/:id.
func (e *Entry) handleGetSteps(c echo.Context) error {
	identity := requestIdentity{id: c.Param("id"), firstAttempt: true}
	return e.stepCall(c, identity, wire.JobCall{Op: wire.JobStatus, Job: identity.id})
}

// handleCancelSteps serves DELETE /v1/queues/:queue/step-jobs/:id.
func (e *Entry) handleCancelSteps(c echo.Context) error {
	identity := requestIdentity{id: c.Param("id"), firstAttempt: true}
	return e.stepCall(c, identity, wire.JobCall{Op: wire.JobCancel, Job: identity.id})
}

// stepCall checks the caller's key and forwards the call to the leader. It
// continues after the caller has disconnected, since the call may already be on its
// way.
func (e *Entry) stepCall(c echo.Context, identity requestIdentity, call wire.JobCall) error {
	call.Queue = c.Param("queue")
	var refusal *api.Refusal
	if call.Team, refusal = e.stepTeam(c, call.Queue); refusal != nil {
		return e.refuseJob(c, identity, refusal)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Request().Context()), proposeTimeout)
	defer cancel()
	var reply wire.JobCallReply
	if err := e.leader.Call(ctx, wire.TypeJobCall, call, &reply, 0); err != nil {
		return e.refuseJob(c, identity, proposeRefusal(err))
	}
	if refusal := stepRefusal(reply); refusal != nil {
		if refusedByState(reply.Verdict) {
			return e.respond(c, identity.id, refusalToAnswer(refusal))
		}
		return e.refuseJob(c, identity, refusal)
	}
	c.Response().Header().Set(api.HeaderRequestID, identity.id)
	c.Response().Header().Set(api.HeaderVerdict, string(api.Done))
	status := http.StatusOK
	if call.Op == wire.JobSubmit {
		status = http.StatusAccepted
	}
	return c.JSON(status, api.StepJob{ID: identity.id, Queue: call.Queue, State: reply.State, Steps: reply.Steps})
}

// stepTeam returns the team of the caller's key, or "" for an open queue.
func (e *Entry) stepTeam(c echo.Context, queue string) (string, *api.Refusal) {
	config, _ := e.lease.view(e.clock())
	if config == nil {
		return "", api.RetryLater(api.CodeNoLease, "this entry has no configuration yet", jitteredLeaseRetryAfter())
	}
	q, ok := config.Queues[queue]
	if !ok {
		return "", api.Refuse(http.StatusNotFound, api.CodeNotFound, "no such queue")
	}
	if q.Open {
		return "", nil
	}
	team, _, refusal := e.authorize(c.Request().Header.Get(api.HeaderKey))
	return team, refusal
}

// refusedByState reports whether the leader refused this content under this
// identifier because of its state. The content has then not run, whatever happened
// to earlier attempts.
func refusedByState(v wire.JobVerdict) bool {
	return v == wire.VerdictConflict || v == wire.VerdictOverloaded || v == wire.VerdictInvalid
}

func stepRefusal(reply wire.JobCallReply) *api.Refusal {
	switch reply.Verdict {
	case wire.VerdictOK:
		return nil
	case wire.VerdictNoQueue:
		return api.Refuse(http.StatusNotFound, api.CodeNotFound, "no such queue")
	case wire.VerdictNoJob:
		return api.Refuse(http.StatusNotFound, api.CodeNotFound, "no such job")
	case wire.VerdictUnresolved:
		return api.UnknownOutcome(api.CodeNoQuorum, reply.Detail)
	case wire.VerdictConflict:
		return api.Refuse(http.StatusConflict, api.CodeRequestIDReused, reply.Detail)
	case wire.VerdictOverloaded:
		return api.RetryLater(api.CodeOverloaded, reply.Detail, time.Duration(reply.RetryAfterMS)*time.Millisecond)
	default:
		return api.Refuse(http.StatusBadRequest, api.CodeBadRequest, reply.Detail)
	}
}

// handleStepReport serves PUT /v1/step-workers/:id. It passes the report of a
// worker of step jobs to the leader, which replies with orders.
func (e *Entry) handleStepReport(c echo.Context) error {
	body, refusal := readLimited(c, maxStepReportBytes)
	if refusal != nil {
		return e.respond(c, "", refusalToAnswer(refusal))
	}
	var orders wire.StepOrders
	err := e.callLeader(c, wire.TypeStepReport, wire.StepReport{Worker: c.Param("id"), Body: body}, &orders)
	if err != nil {
		return e.respond(c, "", refusalToAnswer(reportRefusal(err)))
	}
	return c.JSONBlob(http.StatusOK, orders.Body)
}

// handleStepLeave serves DELETE /v1/step-workers/:id, by which a worker of step
// jobs leaves.
func (e *Entry) handleStepLeave(c echo.Context) error {
	var orders wire.StepOrders
	if err := e.callLeader(c, wire.TypeStepLeave, wire.StepReport{Worker: c.Param("id")}, &orders); err != nil {
		return e.respond(c, "", refusalToAnswer(reportRefusal(err)))
	}
	return c.NoContent(http.StatusNoContent)
}

func (e *Entry) callLeader(c echo.Context, t wire.Type, req, resp any) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), stepReportTimeout)
	defer cancel()
	return e.leader.Call(ctx, t, req, resp, stepReportTimeout)
}

// reportRefusal is the answer to a worker whose report the leader did not take.
func reportRefusal(err error) *api.Refusal {
	var body *wire.ErrorBody
	var unavailable *leader.ErrUnavailable
	switch {
	case errors.As(err, &unavailable):
		return api.RetryLater(api.CodeNoQuorum, "no leading store answered", defaultRetryAfter)
	case errors.As(err, &body) && body.Code == wire.CodeBadMessage:
		return api.Refuse(http.StatusBadRequest, api.CodeBadRequest, body.Message)
	default:
		return api.RetryLater(api.CodeNoQuorum, err.Error(), defaultRetryAfter)
	}
}
