// Package ledger implements the request ledger of a data centre. It stores for each
// request identifier whether it was claimed, dispatched or finished, and the answer.
// A request is dispatched at most once, and a stored answer never changes, except
// that its body may be dropped.
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
	// answerRetention is the time after the outcome for which a finished record keeps its
	// answer.
	answerRetention = 10 * time.Minute
	// tombstoneRetention is the time after the claim for which an identifier can't be
	// claimed again once its record has expired.
	tombstoneRetention = 24 * time.Hour
	// ownerGracePeriod is added to an owner's deadline before the owner counts as timed
	// out. It covers clock rate differences and messages in transit.
	ownerGracePeriod = 500 * time.Millisecond
	// sweepInterval is the time between two scans for expired tombstones, of which there
	// can be millions. A tombstone can outlive its retention by that time.
	sweepInterval = 10 * time.Minute
	// epochMargin covers the difference between the wall clock of the entry that generated
	// an identifier and that of the ledger that set the epoch.
	epochMargin = time.Minute
	// timestampDigits and randomDigits are the lengths of the two parts of a generated
	// identifier: Unix milliseconds in decimal and a random number in hexadecimal.
	timestampDigits = 13
	randomDigits    = 24
	// maxRetainedBodyBytes bounds the total size of the bodies of stored answers. Above
	// it the oldest bodies are dropped, and a retry receives the answer without its body.
	maxRetainedBodyBytes = 8 << 20
	// MaxAnswerBytes bounds the body of a stored answer, in bytes.
	MaxAnswerBytes = 256 << 10
)

// CodeAnswerNotKept is the code of a stored answer whose body was dropped, because it
// was larger than MaxAnswerBytes or to bound memory.
const CodeAnswerNotKept = "answer_not_kept"

// opKind is the kind of a change in the journal.
type opKind uint8

const (
	opDispatch opKind = iota + 1
	opFinish
	opRelease
	opTombstone
)

// op is a change in the journal. Times are Unix milliseconds.
type op struct {
	Kind        opKind           `cbor:"1,keyasint"`
	ID          string           `cbor:"2,keyasint,omitempty"`
	Owner       string           `cbor:"3,keyasint,omitempty"`
	Fingerprint uint64           `cbor:"4,keyasint,omitempty"`
	ClaimedAt   int64            `cbor:"5,keyasint,omitempty"`
	Deadline    int64            `cbor:"6,keyasint,omitempty"`
	FinishedAt  int64            `cbor:"7,keyasint,omitempty"`
	Answer      *wire.CallAnswer `cbor:"8,keyasint,omitempty"`
	// Hash is the hash of the identifier, for opTombstone only.
	Hash uint64 `cbor:"9,keyasint,omitempty"`
}

// record is the current state of one identifier. Times are Unix milliseconds.
type record struct {
	state       wire.LedgerState
	owner       string
	fingerprint uint64
	claimedAt   int64
	deadline    int64
	finishedAt  int64
	answer      *wire.CallAnswer
	// seq is the number of the last change to the record, 0 if it was read from the journal.
	seq uint64
}

// table is the state machine of the ledger. It reads no clock and does no I/O. Times
// are Unix milliseconds.
type table struct {
	// epoch is when the ledger started without its previous records, 0 for a ledger that
	// never had any.
	epoch   int64
	records map[string]*record
	// tombstones maps the hash of an identifier to the time of its claim.
	tombstones map[uint64]int64
	sweptAt    int64
	// withBody lists the finished records with a body, oldest first, and bodyBytes is the
	// total size of their bodies. A record that was deleted from records stays in the list
	// until its body is dropped.
	withBody  []*record
	bodyBytes int
}

func newTable(epoch int64) *table {
	return &table{epoch: epoch, records: map[string]*record{}, tombstones: map[uint64]int64{}}
}

// claim claims an identifier and returns its state. If that is wire.LedgerNew, the
// claim succeeded and req.Owner holds the record.
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

// stateWithoutRecord returns the state of an identifier without a record;
// wire.LedgerNew means that it can be claimed.
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

// generatedAt returns the creation time in an identifier that the system generated,
// in Unix milliseconds. The lengths of its parts distinguish it from an identifier
// that a caller chose, such as one made of a date and a number.
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

// dispatch returns the change that records a dispatch, or false if owner does not
// hold the claim or has timed out.
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

// finish returns the change that records an outcome. changed is false if there is
// nothing to record, and held is false if owner does not hold the record.
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

// LimitBody returns the answer in the form in which the ledger stores it: unchanged if
// its body has at most MaxAnswerBytes, otherwise a copy without the body and with the
// code CodeAnswerNotKept.
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

// apply applies a change. Applying a change twice has no further effect: after a
// compaction the journal can repeat changes that its snapshot contains.
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

// retainBody adds the body of a finished record to the bound, and drops the oldest
// bodies above it.
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

// dropOldestBody removes the body of the oldest finished record that has one.
func (t *table) dropOldestBody() {
	rec := t.withBody[0]
	t.withBody[0] = nil
	t.withBody = t.withBody[1:]
	t.bodyBytes -= len(rec.answer.Body)
	rec.answer = withoutBody(rec.answer)
}

// dropExpiredBodies removes the bodies of answers that are older than answerRetention.
func (t *table) dropExpiredBodies(now int64) {
	for len(t.withBody) > 0 && now-t.withBody[0].finishedAt > answerRetention.Milliseconds() {
		t.dropOldestBody()
	}
}

// expire replaces finished records after answerRetention by tombstones, and deletes
// expired tombstones and claims whose owner timed out. It is not journalled, since it
// follows from the times in the journal.
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

// snapshot returns changes that rebuild the table without its claims, which are not
// durable.
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

// idHash must not change between versions, since the journal stores the hashes of tombstones.
func idHash(id string) uint64 { return xxhash.Sum64String(id) }
