package fleet

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Bounds that keep the state within the memory of a small instance.
const (
	// MaxRetainedBytes bounds the sum of the retained payloads and results. A submission
	// that would exceed it is refused with CodeQueueFull.
	MaxRetainedBytes = 8 << 20
	// MaxBlobBytes bounds one payload and one result. A larger payload is refused; a
	// larger result is dropped.
	MaxBlobBytes = 64 << 10

	maxAnswers      = 10000
	maxAudit        = 10000
	maxNameBytes    = 256
	maxSummaryLines = 20
	maxAmount       = 1 << 40
	dayMS           = 24 * 60 * 60 * 1000
)

// Apply applies the command at a log index and returns its result. It is deterministic.
// A refused command changes only Applied and Now.
func (s *State) Apply(index uint64, cmd Command) Result {
	s.Applied = index
	s.Now = max(s.Now, cmd.Time)
	if cmd.countBodies() != 1 {
		return refuse(CodeInvalid, "a command has exactly one body")
	}
	switch {
	case cmd.Change != nil:
		return s.applyChange(cmd.Change, cmd.WallUnixMS)
	case cmd.Submit != nil:
		return s.applySubmit(cmd.Submit)
	case cmd.Cancel != nil:
		return s.applyCancel(cmd.Cancel)
	case cmd.Assign != nil:
		return s.applyAssign(cmd.Assign)
	case cmd.Outcome != nil:
		return s.applyOutcomes(cmd.Outcome)
	case cmd.Observe != nil:
		return s.applyObserve(cmd.Observe)
	case cmd.Grant != nil:
		return s.applyGrant(cmd.Grant)
	case cmd.InForce != nil:
		return s.applyInForce(cmd.InForce)
	case cmd.Maintenance != nil:
		return s.applyPhases(cmd.Maintenance)
	case cmd.Move != nil:
		return s.applyMove(cmd.Move, cmd.WallUnixMS)
	case cmd.Workload != nil:
		result := s.Workload.Apply(cmd.Workload, int64(s.Now))
		return Result{Workload: &result}
	default:
		return s.applyExpire()
	}
}

// countBodies returns the number of pointer fields that are set.
func (c *Command) countBodies() int {
	set := []bool{
		c.Change != nil, c.Submit != nil, c.Cancel != nil, c.Assign != nil, c.Outcome != nil,
		c.Observe != nil, c.Grant != nil, c.InForce != nil, c.Maintenance != nil, c.Expire != nil, c.Move != nil,
		c.Workload != nil,
	}
	n := 0
	for _, b := range set {
		if b {
			n++
		}
	}
	return n
}

func refusal(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Message: fmt.Sprintf(format, args...)}
}

func refuse(code Code, format string, args ...any) Result {
	return Result{Refusal: refusal(code, format, args...)}
}

// reject records the refusal of element i of a batch.
func (r *Result) reject(i int, refused *Refusal) {
	if r.Rejected == nil {
		r.Rejected = map[int]Refusal{}
	}
	r.Rejected[i] = *refused
}

// fingerprint hashes the deterministic encoding of v.
func fingerprint(v any) uint64 {
	data, err := encMode.Marshal(v)
	if err != nil {
		panic(err)
	}
	return xxhash.Sum64(data)
}

func validName(name string) bool {
	return name != "" && len(name) <= maxNameBytes
}
