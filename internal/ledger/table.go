// Package ledger keeps the request ledger of one data centre: for each request
// identifier whether it was claimed, dispatched or finished, with its answer. A
// request is dispatched at most once, and a stored answer never changes.
package ledger

import (
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	// answerRetention is the time for which a finished record keeps its answer.
	answerRetention = 10 * time.Minute
	// tombstoneRetention is the time after the claim for which an identifier stays refused.
	tombstoneRetention = 24 * time.Hour
	// ownerGracePeriod is added to an owner's deadline before it counts as dead, for
	// clocks that run at unequal rates and messages on their way.
	ownerGracePeriod = 500 * time.Millisecond
	// sweepInterval is the time between two searches for old tombstones, of which
	// there may be millions. A tombstone may last that much longer.
	sweepInterval = 10 * time.Minute
	// epochMargin covers the difference between the wall clocks of an entry, which
	// stamps an identifier, and of the ledger, which stamps its epoch.
	epochMargin = time.Minute
	// timestampDigits and mintedRandom are the lengths of the parts of an identifier
	// that the system generated.
	timestampDigits = 13
	randomDigits = 24
	// maxRetainedBodyBytes bounds the bodies of all kept answers. Beyond it the oldest are
	// dropped, and a retry gets the answer without its body.
	maxRetainedBodyBytes = 8 << 20
	// MaxAnswerBytes bounds a stored answer's body.
	MaxAnswerBytes = 256 << 10
)

// CodeAnswerNotKept marks a finished request whose answer was too large to keep.
const CodeAnswerNotKept = "answer_not_kept"

// opKind is the kind of a journalled change.
type opKind uint8

const (
	opDispatch opKind = iota + 1
	opFinish
	opRelease
	opTombstone
)

// op is one journalled change. Times are Unix milliseconds.
type op struct {
	Kind        opKind           `cbor:"1,keyasint"`
	ID          string           `cbor:"2,keyasint,omitempty"`
	Owner       string           `cbor:"3,keyasint,omitempty"`
	Fingerprint uint64           `cbor:"4,keyasint,omitempty"`
	ClaimedAt   int64            `cbor:"5,keyasint,omitempty"`
	Deadline    int64            `cbor:"6,keyasint,omitempty"`
	FinishedAt  int64            `cbor:"7,keyasint,omitempty"`
	Answer      *wire.CallAnswer `cbor:"8,keyasint,omitempty"`
	// Hash is the hash of the identifier of a tombstone.
	Hash uint64 `cbor:"9,keyasint,omitempty"`
}

// record is the present state of one identifier.
type record struct {
	state       wire.LedgerState
	owner       string
	fingerprint uint64
	claimedAt   int64
	deadline    int64
	finishedAt  int64
	answer      *wire.CallAnswer
	// seq is the journal position of the last change.
	seq uint64
}

// table is the state machine of the ledger. It reads no clock and does no I/O.
type table struct {
	// epoch is when the ledger started without its former records; 0 for a
	// ledger that never had any.
	epoch      int64
	records    map[string]*record
	tombstones map[uint64]int64
	sweptAt    int64
	// withBody lists the finished records with a body, oldest first; keptBytes is the
	// size of these bodies. A record that was removed since stays listed until its turn.
	withBody      []*record
	bodyBytes int
}

func newTable(epoch int64) *table {
	return &table{epoch: epoch, records: map[string]*record{}, tombstones: map[uint64]int64{}}
}

// claim decides on a claim at now. With wire.LedgerNew the record belongs to the
// request's owner.
func (t *table) claim(now int64, req wire.LedgerClaimRequest) wire.LedgerState {
	rec, ok := t.records[req.RequestID]
	if !ok {
		if state := t.stateWithoutRecord(now, req); state != wire.LedgerNew {
			return state
		}
		t.records[req.RequestID] = newRecord(now, req)
		return wire.LedgerNew
	}
	if rec.state != wire.LedgerClaimed || rec.fingerprint != req.Fingerprint {
		return rec.state
	}
	if rec.owner != req.Owner && !rec.ownerTimedOut(now) {
		return wire.LedgerClaimed
	}
	t.records[req.RequestID] = newRecord(now, req)
	return wire.LedgerNew
}

func newRecord(now int64, req wire.LedgerClaimRequest) *record {
	return &record{
		state:       wire.LedgerClaimed,
		owner:       req.Owner,
		fingerprint: req.Fingerprint,
		claimedAt:   now,
		deadline:    now + max(req.DeadlineMS, 0),
	}
}

// stateWithoutRecord decides on an identifier without a record.
func (t *table) stateWithoutRecord(now int64, req wire.LedgerClaimRequest) wire.LedgerState {
	if _, ok := t.tombstones[idHash(req.RequestID)]; ok {
		return wire.LedgerExpired
	}
	generated, known := generatedAt(req.RequestID)
	if known && now-generated > tombstoneRetention.Milliseconds() {
		return wire.LedgerExpired
	}
	if req.FirstAttempt || t.epoch == 0 || now-t.epoch > tombstoneRetention.Milliseconds() {
		return wire.LedgerNew
	}
	if known && generated > t.epoch+epochMargin.Milliseconds() {
		return wire.LedgerNew
	}
	return wire.LedgerForgotten
}

// generatedAt returns the creation time in an identifier that the system generated.
// The length of both parts tells it from a caller's own identifier, such as one
// with a date and a number.
func generatedAt(id string) (int64, bool) {
	_, opaque, _ := strings.Cut(id, ".")
	ms, random, _ := strings.Cut(opaque, "-")
	if len(ms) != timestampDigits || len(random) != randomDigits {
		return 0, false
	}
	if _, err := hex.DecodeString(random); err != nil {
		return 0, false
	}
	at, err := strconv.ParseInt(ms, 10, 64)
	return at, err == nil && at > 0
}

func (r *record) ownerTimedOut(now int64) bool {
	return now > r.deadline+ownerGracePeriod.Milliseconds()
}

// dispatch returns the change that records a dispatch, or false when owner does
// not hold the claim.
func (t *table) dispatch(now int64, id, owner string) (op, bool) {
	rec, ok := t.records[id]
	if !ok || rec.owner != owner || rec.state != wire.LedgerClaimed || rec.ownerTimedOut(now) {
		return op{}, false
	}
	return op{
		Kind:        opDispatch,
		ID:          id,
		Owner:       owner,
		Fingerprint: rec.fingerprint,
		ClaimedAt:   rec.claimedAt,
		Deadline:    rec.deadline,
	}, true
}

// finish returns the change that records an outcome. changed is false when there
// is nothing to record; held is false when owner does not hold the record.
func (t *table) finish(now int64, id, owner string, answer *wire.CallAnswer) (change op, changed, held bool) {
	rec, ok := t.records[id]
	if !ok || rec.owner != owner {
		return op{}, false, false
	}
	if rec.state == wire.LedgerFinished {
		return op{}, false, true
	}
	if answer.Verdict == string(api.NotRun) {
		return op{Kind: opRelease, ID: id, Owner: owner}, true, true
	}
	if rec.state != wire.LedgerDispatched {
		return op{}, false, false
	}
	return op{Kind: opFinish, ID: id, Owner: owner, FinishedAt: now, Answer: LimitBody(answer)}, true, true
}

// LimitBody returns the answer as it is kept.
func LimitBody(answer *wire.CallAnswer) *wire.CallAnswer {
	if len(answer.Body) <= MaxAnswerBytes {
		return answer
	}
	return withoutBody(answer)
}

func withoutBody(answer *wire.CallAnswer) *wire.CallAnswer {
	stripped := *answer
	stripped.Body = nil
	stripped.Code = CodeAnswerNotKept
	return &stripped
}

// apply makes a change. It tolerates changes that are already made, since a
// compacted journal may repeat them.
func (t *table) apply(change op, seq uint64) {
	rec := t.records[change.ID]
	switch change.Kind {
	case opDispatch:
		if rec != nil && rec.owner == change.Owner && rec.state != wire.LedgerClaimed {
			return
		}
		t.records[change.ID] = &record{
			state:       wire.LedgerDispatched,
			owner:       change.Owner,
			fingerprint: change.Fingerprint,
			claimedAt:   change.ClaimedAt,
			deadline:    change.Deadline,
			seq:         seq,
		}
	case opFinish:
		if rec == nil || rec.owner != change.Owner || rec.state == wire.LedgerFinished {
			return
		}
		rec.state = wire.LedgerFinished
		rec.finishedAt = change.FinishedAt
		rec.answer = change.Answer
		rec.seq = seq
		t.retainBody(rec)
	case opRelease:
		if rec != nil && rec.owner == change.Owner && rec.state != wire.LedgerFinished {
			delete(t.records, change.ID)
		}
	case opTombstone:
		t.tombstones[change.Hash] = change.ClaimedAt
	}
}

// retainBody notes the body of a finished record and drops the oldest ones beyond the bound.
func (t *table) retainBody(rec *record) {
	if len(rec.answer.Body) == 0 {
		return
	}
	t.withBody = append(t.withBody, rec)
	t.bodyBytes += len(rec.answer.Body)
	for t.bodyBytes > maxRetainedBodyBytes {
		t.dropOldestBody()
	}
}

// dropOldestBody drops the oldest kept body.
func (t *table) dropOldestBody() {
	rec := t.withBody[0]
	t.withBody[0] = nil
	t.withBody = t.withBody[1:]
	t.bodyBytes -= len(rec.answer.Body)
	rec.answer = withoutBody(rec.answer)
}

// dropExpiredBodies drops the bodies of answers that are older than keepAnswer.
func (t *table) dropExpiredBodies(now int64) {
	for len(t.withBody) > 0 && now-t.withBody[0].finishedAt > answerRetention.Milliseconds() {
		t.dropOldestBody()
	}
}

// expire turns old finished records into tombstones and drops old tombstones and
// lapsed claims. Both follow from times in the journal and need no change of their own.
func (t *table) expire(now int64) {
	t.dropExpiredBodies(now)
	for id, rec := range t.records {
		switch {
		case rec.state == wire.LedgerClaimed:
			if rec.ownerTimedOut(now) {
				delete(t.records, id)
			}
		case now-rec.claimedAt > tombstoneRetention.Milliseconds():
			delete(t.records, id)
		case rec.state == wire.LedgerFinished && now-rec.finishedAt > answerRetention.Milliseconds():
			delete(t.records, id)
			t.tombstones[idHash(id)] = rec.claimedAt
		}
	}
	if now-t.sweptAt < sweepInterval.Milliseconds() {
		return
	}
	t.sweptAt = now
	for hash, claimedAt := range t.tombstones {
		if now-claimedAt > tombstoneRetention.Milliseconds() {
			delete(t.tombstones, hash)
		}
	}
}

// snapshot returns the changes that rebuild the durable part of the table.
func (t *table) snapshot() []op {
	var out []op
	for id, rec := range t.records {
		if rec.state == wire.LedgerClaimed {
			continue
		}
		out = append(out, op{
			Kind: opDispatch, ID: id, Owner: rec.owner, Fingerprint: rec.fingerprint,
			ClaimedAt: rec.claimedAt, Deadline: rec.deadline,
		})
		if rec.state == wire.LedgerFinished {
			out = append(out, op{Kind: opFinish, ID: id, Owner: rec.owner, FinishedAt: rec.finishedAt, Answer: rec.answer})
		}
	}
	for hash, claimedAt := range t.tombstones {
		out = append(out, op{Kind: opTombstone, Hash: hash, ClaimedAt: claimedAt})
	}
	return out
}

// idHash is stable across processes, as tombstones are stored.
func idHash(id string) uint64 { return xxhash.Sum64String(id) }
