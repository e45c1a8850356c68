package harness

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
	"github.com/samphirefork/samphirefork/gen/samphirefork/v1/samphireforkv1connect"
	"github.com/samphirefork/samphirefork/internal/declare"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/history"
	"github.com/samphirefork/samphirefork/internal/operator/schema"
	"github.com/samphirefork/samphirefork/internal/wait"
)

const (
	operatorAttemptTimeout = 5 * time.Second
	operatorRetryTimeout   = 15 * time.Second
	waitInForce            = 4 * time.Second
)

// ErrNotInForce is returned when a change was accepted but, by the last answer
// within 15 s, is not yet in force.
var ErrNotInForce = errors.New("harness: change is accepted but not in force")

// Operator changes the fleet through the operator RPC. It retries each request at
// random entries until one answers or 15 s have passed.
type Operator struct {
	Balancer *Balancer
	Record   *history.Writer
	Name     string

	http   *http.Client
	serial atomic.Uint64
}

// NewOperator returns an operator that sends its requests to the entries of b.
func NewOperator(name string, b *Balancer, record *history.Writer) *Operator {
	return &Operator{Balancer: b, Record: record, Name: name, http: &http.Client{Timeout: operatorAttemptTimeout}}
}

// client returns a client of a random entry.
func (o *Operator) client() (samphireforkv1connect.OperatorClient, *Process) {
	entry := o.Balancer.pick()
	auth := connect.WithInterceptors(connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			req.Header().Set("Authorization", "Bearer "+OperatorToken)
			return next(ctx, req)
		}
	}))
	return samphireforkv1connect.NewOperatorClient(o.http, "http://"+entry.Address, auth), entry
}

// Header returns the header of a new change that expects the current revision.
func (o *Operator) Header(ctx context.Context) (*samphireforkv1.ChangeHeader, error) {
	config, err := o.Config(ctx)
	if err != nil {
		return nil, err
	}
	return &samphireforkv1.ChangeHeader{
		RequestId:        fmt.Sprintf("%s-%d", o.Name, o.serial.Add(1)),
		ExpectedRevision: config.GetRevision(),
		Operator:         o.Name,
		WaitInForceMs:    waitInForce.Milliseconds(),
	}, nil
}

// Config returns the configuration, and records the names of its instances.
func (o *Operator) Config(ctx context.Context) (*samphireforkv1.Config, error) {
	var config *samphireforkv1.Config
	err := o.retry(ctx, func(ctx context.Context, c samphireforkv1connect.OperatorClient) error {
		resp, err := c.GetConfig(ctx, connect.NewRequest(&samphireforkv1.GetConfigRequest{}))
		if err == nil {
			config = resp.Msg.GetConfig()
		}
		return err
	})
	if err == nil {
		var names []string
		for _, i := range config.GetInstances() {
			names = append(names, i.GetName())
		}
		o.Record.Record(history.Event{Kind: history.MembersSeen, Members: names})
	}
	return config, err
}

// Status returns the state of the fleet.
func (o *Operator) Status(ctx context.Context) (*samphireforkv1.StatusResponse, error) {
	var status *samphireforkv1.StatusResponse
	err := o.retry(ctx, func(ctx context.Context, c samphireforkv1connect.OperatorClient) error {
		resp, err := c.Status(ctx, connect.NewRequest(&samphireforkv1.StatusRequest{}))
		if err == nil {
			status = resp.Msg
		}
		return err
	})
	return status, err
}

type sendFunc func(context.Context, samphireforkv1connect.OperatorClient, *samphireforkv1.ChangeHeader) (*samphireforkv1.ChangeOutcome, error)

// change makes one change. When another change was accepted first, it repeats the
// change against the new revision.
func (o *Operator) change(ctx context.Context, send sendFunc) error {
	for {
		err := o.changeOnce(ctx, send)
		if connect.CodeOf(err) != connect.CodeAborted || ctx.Err() != nil {
			return err
		}
	}
}

// changeOnce sends one change until it is in force or refused, with the same header
// each time, and records when it was accepted and when it was in force. The time of
// the first attempt is recorded as that of the acceptance.
func (o *Operator) changeOnce(ctx context.Context, send sendFunc) error {
	header, err := o.Header(ctx)
	if err != nil {
		return err
	}
	began := time.Now()
	var outcome *samphireforkv1.ChangeOutcome
	err = o.retry(ctx, func(ctx context.Context, c samphireforkv1connect.OperatorClient) error {
		var err error
		outcome, err = send(ctx, c, header)
		if err == nil && !outcome.GetInForce() {
			return ErrNotInForce
		}
		return err
	})
	if err != nil {
		return err
	}
	o.Record.Record(history.Event{Kind: history.ChangeAccepted, UnixNS: began.UnixNano(), Revision: outcome.GetRevision()})
	o.Record.Record(history.Event{Kind: history.ChangeInForce, Revision: outcome.GetRevision()})
	return nil
}

// Apply makes one change with the given items against the current revision.
func (o *Operator) Apply(ctx context.Context, items []*samphireforkv1.ChangeItem) error {
	return o.change(ctx, func(ctx context.Context, c samphireforkv1connect.OperatorClient, h *samphireforkv1.ChangeHeader) (*samphireforkv1.ChangeOutcome, error) {
		return applyOnce(ctx, c, h, items)
	})
}

// ApplyConfig creates the entities of cfg in a fleet whose configuration is empty.
func (o *Operator) ApplyConfig(ctx context.Context, cfg fleet.Config) error {
	var items []*samphireforkv1.ChangeItem
	for _, it := range declare.Diff(fleet.NewState().Config, cfg) {
		item, err := schema.FromItem(it)
		if err != nil {
			return err
		}
		items = append(items, item)
	}
	return o.Apply(ctx, items)
}

// ApplyWithHeader sends one change with the given header until it has an answer. It
// records nothing, and repeats nothing when another change was accepted first.
func (o *Operator) ApplyWithHeader(ctx context.Context, h *samphireforkv1.ChangeHeader, items []*samphireforkv1.ChangeItem) (*samphireforkv1.ChangeOutcome, error) {
	var outcome *samphireforkv1.ChangeOutcome
	err := o.retry(ctx, func(ctx context.Context, c samphireforkv1connect.OperatorClient) error {
		var err error
		outcome, err = applyOnce(ctx, c, h, items)
		return err
	})
	return outcome, err
}

func applyOnce(ctx context.Context, c samphireforkv1connect.OperatorClient, h *samphireforkv1.ChangeHeader, items []*samphireforkv1.ChangeItem) (*samphireforkv1.ChangeOutcome, error) {
	resp, err := c.Apply(ctx, connect.NewRequest(&samphireforkv1.ApplyRequest{Change: h, Items: items}))
	if err != nil {
		return nil, err
	}
	return resp.Msg.GetOutcome(), nil
}

// Members lists or changes the members of the replicated log, as req says, and
// returns the members.
func (o *Operator) Members(ctx context.Context, req *samphireforkv1.MembershipRequest) ([]*samphireforkv1.Member, error) {
	var members []*samphireforkv1.Member
	err := o.retry(ctx, func(ctx context.Context, c samphireforkv1connect.OperatorClient) error {
		resp, err := c.Membership(ctx, connect.NewRequest(req))
		if err == nil {
			members = resp.Msg.GetMembers()
		}
		return err
	})
	return members, err
}

// IssueKey issues a key to a team and returns its identifier and the key.
func (o *Operator) IssueKey(ctx context.Context, team string) (id, key string, err error) {
	err = o.change(ctx, func(ctx context.Context, c samphireforkv1connect.OperatorClient, h *samphireforkv1.ChangeHeader) (*samphireforkv1.ChangeOutcome, error) {
		resp, err := c.IssueKey(ctx, connect.NewRequest(&samphireforkv1.IssueKeyRequest{Change: h, Team: team}))
		if err != nil {
			return nil, err
		}
		id, key = resp.Msg.GetKeyId(), resp.Msg.GetKey()
		return resp.Msg.GetOutcome(), nil
	})
	return id, key, err
}

// WithdrawKey withdraws a key and records it when the change is in force.
func (o *Operator) WithdrawKey(ctx context.Context, id string) error {
	err := o.change(ctx, func(ctx context.Context, c samphireforkv1connect.OperatorClient, h *samphireforkv1.ChangeHeader) (*samphireforkv1.ChangeOutcome, error) {
		resp, err := c.WithdrawKey(ctx, connect.NewRequest(&samphireforkv1.WithdrawKeyRequest{Change: h, KeyId: id}))
		if err != nil {
			return nil, err
		}
		return resp.Msg.GetOutcome(), nil
	})
	if err == nil {
		o.Record.Record(history.Event{Kind: history.KeyWithdrawn, KeyID: id})
	}
	return err
}

// StartMaintenance starts a plan that reboots every instance of a pool.
func (o *Operator) StartMaintenance(ctx context.Context, plan, pool string, drainTimeout time.Duration) error {
	return o.change(ctx, func(ctx context.Context, c samphireforkv1connect.OperatorClient, h *samphireforkv1.ChangeHeader) (*samphireforkv1.ChangeOutcome, error) {
		resp, err := c.StartMaintenance(ctx, connect.NewRequest(&samphireforkv1.StartMaintenanceRequest{
			Change: h, Plan: plan, Pool: pool, DrainTimeoutMs: drainTimeout.Milliseconds(),
		}))
		if err != nil {
			return nil, err
		}
		return resp.Msg.GetOutcome(), nil
	})
}

// Drain starts an operator's drain of an instance, or ends it with undo.
func (o *Operator) Drain(ctx context.Context, instance string, undo bool) error {
	return o.change(ctx, func(ctx context.Context, c samphireforkv1connect.OperatorClient, h *samphireforkv1.ChangeHeader) (*samphireforkv1.ChangeOutcome, error) {
		resp, err := c.Drain(ctx, connect.NewRequest(&samphireforkv1.DrainRequest{Change: h, Instance: instance, Undo: undo}))
		if err != nil {
			return nil, err
		}
		return resp.Msg.GetOutcome(), nil
	})
}

// Evacuate begins the evacuation of a data centre, or ends it with end.
func (o *Operator) Evacuate(ctx context.Context, dataCentre string, end bool) error {
	return o.change(ctx, func(ctx context.Context, c samphireforkv1connect.OperatorClient, h *samphireforkv1.ChangeHeader) (*samphireforkv1.ChangeOutcome, error) {
		resp, err := c.Evacuate(ctx, connect.NewRequest(&samphireforkv1.EvacuateRequest{Change: h, DataCentre: dataCentre, End: end}))
		if err != nil {
			return nil, err
		}
		return resp.Msg.GetOutcome(), nil
	})
}

// retry runs f against random entries until it succeeds, returns a final error, or
// operatorRetryTimeout has passed.
func (o *Operator) retry(ctx context.Context, f func(context.Context, samphireforkv1connect.OperatorClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, operatorRetryTimeout)
	defer cancel()
	for {
		client, entry := o.client()
		attemptCtx, cancelAttempt := context.WithTimeout(ctx, operatorAttemptTimeout)
		err := f(attemptCtx, client)
		cancelAttempt()
		if err == nil || isFinalError(err) || ctx.Err() != nil {
			return errors.Wrap(err, "harness: operator request")
		}
		if connect.CodeOf(err) == connect.CodeUnavailable && strings.Contains(err.Error(), "connection refused") {
			o.Balancer.markUnreachable(entry)
		}
		wait.For(ctx, minRetryAfter)
	}
}

// isFinalError reports whether repeating the same request can't succeed.
func isFinalError(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeAborted, connect.CodeFailedPrecondition,
		connect.CodeNotFound, connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeAlreadyExists:
		return true
	default:
		return false
	}
}
