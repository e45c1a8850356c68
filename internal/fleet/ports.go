package fleet

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// Errors of Log.Propose. ErrNotLeader means that the command was not appended to the
// log, ErrUncertain that it may be committed already or later. ErrCommand, wrapped, means
// that it was not and never will be applied: it is malformed or too large.
var (
	ErrNotLeader = errors.New("fleet: this store is not the leader")
	ErrUncertain = errors.New("fleet: the command may or may not be committed")
)

// Leadership is the view that one store has of the leader of the log.
type Leadership struct {
	// Leader is the peer address of the leader, empty when it is not known.
	Leader string
	// Term is the current Raft term of this store.
	Term uint64
	// Leading is true while this store is the leader and a majority of the voters has
	// acknowledged it within the minimum election timeout, measured with the
	// monotonic clock. Only then may the store answer on behalf of the fleet.
	Leading bool
	// Since is the time at which this store had become leader and applied an entry of
	// its own term.
	Since time.Time
}

// Log is the interface of the replicated log to the controllers of the leader and the
// control server.
type Log interface {
	// Propose stamps cmd with cluster time and returns the result once cmd is committed
	// and applied on this store. A refusal by the state machine is in the Result, not in
	// the error.
	Propose(ctx context.Context, cmd Command) (Result, error)
	// Read calls f with the applied state. f must neither change nor keep it.
	Read(f func(*State))
	// Leadership returns this store's current view of the leader.
	Leadership() Leadership
	// Changed returns a channel that is closed when the next command is applied.
	Changed() <-chan struct{}
	// Now returns the cluster time that a command proposed now would be stamped with.
	Now() Time
}

// ProposeWorkload proposes a change to the jobs of steps and tasks and returns its
// result. The errors are those of Log.Propose.
func ProposeWorkload(ctx context.Context, log Log, cmd *workload.Command) (workload.Result, error) {
	result, err := log.Propose(ctx, Command{Workload: cmd})
	if err != nil {
		return workload.Result{}, err
	}
	if result.Workload == nil {
		return workload.Result{}, errors.Wrap(ErrCommand, "the log skipped the command")
	}
	return *result.Workload, nil
}
