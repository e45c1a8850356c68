package ledger

import (
	"context"
	"net/http"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// Register adds the handlers of the ledger's messages to mux. With Run, it makes the
// ledger a store.Component.
func (l *Ledger) Register(mux wire.Mux) {
	mux[wire.TypeLedgerClaim] = l.serveClaim
	mux[wire.TypeLedgerDispatch] = l.serveDispatch
	mux[wire.TypeLedgerFinish] = l.serveFinish
}

// Run waits until ctx ends and then closes the ledger. It returns early with the
// error of a failed write or sync.
func (l *Ledger) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return l.Close()
	case <-l.Failed():
		return l.Err()
	}
}

func (l *Ledger) serveClaim(ctx context.Context, req wire.Request) (any, error) {
	var msg wire.LedgerClaimRequest
	if err := req.Decode(&msg); err != nil {
		return nil, err
	}
	if msg.RequestID == "" || msg.Owner == "" {
		return nil, &wire.ErrorBody{Code: wire.CodeBadMessage, Message: "request identifier and owner are required"}
	}
	return l.Claim(ctx, msg)
}

func (l *Ledger) serveDispatch(ctx context.Context, req wire.Request) (any, error) {
	var msg wire.LedgerUpdate
	if err := req.Decode(&msg); err != nil {
		return nil, err
	}
	return nil, l.Dispatch(ctx, msg.RequestID, msg.Owner)
}

func (l *Ledger) serveFinish(ctx context.Context, req wire.Request) (any, error) {
	var msg wire.LedgerUpdate
	if err := req.Decode(&msg); err != nil {
		return nil, err
	}
	return nil, l.Finish(ctx, msg.RequestID, msg.Owner, msg.Answer)
}

// unknownOutcome returns the answer to a request that was dispatched but whose owner
// reported no outcome before its deadline.
func unknownOutcome() *wire.CallAnswer {
	return &wire.CallAnswer{
		Verdict: string(api.MayHaveRun),
		Code:    string(api.CodeOutcomeUnknown),
		Status:  http.StatusGatewayTimeout,
		Message: "the entry that ran the request did not report its outcome",
	}
}
