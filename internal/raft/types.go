// Package raft implements the Raft consensus algorithm as a deterministic state
// machine: leader election with pre-votes, log replication, leader leases,
// snapshots, leadership transfer and membership changes of one member at a time.
// It does no I/O, starts no goroutine and reads no clock: time is a parameter, and
// the caller persists, sends and applies what Core.Ready returns.
package raft

import (
	"math/rand/v2"

	"github.com/pkg/errors"
)

// Errors of Core.Propose and Core.ChangeMembers. After any of them the log is unchanged.
var (
	ErrNotLeader     = errors.New("raft: not the leader")
	ErrChangePending = errors.New("raft: an earlier membership change, or the first entry of the term, is not applied yet")
	ErrUnknownMember = errors.New("raft: no such member")
	ErrMemberExists  = errors.New("raft: member exists")
	ErrNotCaughtUp   = errors.New("raft: learner has not caught up")
	ErrNoQuorum      = errors.New("raft: the change would leave no majority of voters in contact")
	ErrLastVoter     = errors.New("raft: the last voter cannot be removed")
	ErrBadChange     = errors.New("raft: a membership change needs exactly one valid action")
)

// EntryKind is the type of a log entry. Its values are stored in the log.
type EntryKind uint8

// Entry kinds. A leader appends an EntryNoop at the start of its term, since it
// can commit entries of earlier terms only together with one of its own.
const (
	EntryCommand EntryKind = iota + 1
	EntryNoop
	EntryMembership
)

// Entry is a log entry.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
	// Members is the complete membership from this entry on; only an EntryMembership has it.
	Members []Member `cbor:"5,keyasint,omitempty"`
}

// Member is a store of the Raft group. A learner receives the log but has no vote.
type Member struct {
	ID         uint64 `cbor:"1,keyasint"`
	Instance   string `cbor:"2,keyasint"`
	DataCentre string `cbor:"3,keyasint"`
	Address    string `cbor:"4,keyasint"`
	Learner    bool   `cbor:"5,keyasint,omitempty"`
}

// Change is a membership change. Exactly one field is set: Add is the member to add
// as a learner, Promote the ID of a learner to make a voter, and Remove the ID of a
// member to remove.
type Change struct {
	Add     *Member
	Promote uint64
	Remove  uint64
}

// HardState is the current term and the ID of the member that received this member's
// vote in it, or 0. It must be durable before a message that depends on it is sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote uint64 `cbor:"2,keyasint"`
}

// Position is the index and term of a log entry, usually the last one that a
// snapshot covers, with the membership in effect at that entry.
type Position struct {
	Index   uint64   `cbor:"1,keyasint"`
	Term    uint64   `cbor:"2,keyasint"`
	Members []Member `cbor:"3,keyasint,omitempty"`
}

// Snapshot is the encoded state after the entry at its position. It replaces the log
// up to and including that entry.
type Snapshot struct {
	Position
	Data []byte
}

// MessageKind is the type of a message. Its values are part of the wire format.
type MessageKind uint8

// Message kinds. MsgTimeoutNow asks a voter to start an election at once, to transfer
// the leadership to it. MsgLeaderQuery asks a voter whether it may lead a term up to the
// sender's, and MsgNotLeading answers that it does not and never will.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgHeartbeat
	MsgHeartbeatReply
	MsgSnapshot
	MsgSnapshotReply
	MsgTimeoutNow
	MsgLeaderQuery
	MsgNotLeading
)

// Message is a request or reply between two members. The sender, receiver, term and
// kind are always set; the other fields depend on the kind.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From uint64      `cbor:"2,keyasint"`
	To   uint64      `cbor:"3,keyasint"`
	Term uint64      `cbor:"4,keyasint"`
	// Index and LogTerm identify the entry that precedes Entries, the candidate's
	// last entry, or the last entry covered by a snapshot. In a reply, Index is the
	// acknowledged or rejected index. In a MsgNotLeading, LogTerm is the term of the query.
	Index   uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Entries []Entry `cbor:"7,keyasint,omitempty"`
	Commit  uint64  `cbor:"8,keyasint,omitempty"`
	Reject  bool    `cbor:"9,keyasint,omitempty"`
	// Hint and HintTerm are the index and term of the last entry of the rejecting
	// member at which its log may still agree with the leader's.
	Hint     uint64 `cbor:"10,keyasint,omitempty"`
	HintTerm uint64 `cbor:"11,keyasint,omitempty"`
	// Sent is the leader's time, in the unit of Config.Now, at which it sent the
	// message. Replies return it unchanged.
	Sent int64 `cbor:"12,keyasint,omitempty"`
	// Force marks the vote requests of a leadership transfer, which are granted even
	// within the minimum election timeout after contact with a leader.
	Force bool `cbor:"13,keyasint,omitempty"`
	// Offset, Total, Chunk and Members belong to snapshot transfers: the chunk starts at
	// byte Offset of Total, and a MsgSnapshotReply names the next offset expected.
	Offset  uint64   `cbor:"14,keyasint,omitempty"`
	Total   uint64   `cbor:"15,keyasint,omitempty"`
	Chunk   []byte   `cbor:"16,keyasint,omitempty"`
	Members []Member `cbor:"17,keyasint,omitempty"`
}

// Role is the state of a member in its current term.
type Role uint8

// Roles. A PreCandidate collects pre-votes, which do not raise the term, before it
// becomes a Candidate.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Config configures a member. Now is the time at which it starts; Now and
// MinElectionTimeout are in one time unit, which the caller chooses. Rand draws the
// election timeouts. Every field must be set; Now may be 0.
type Config struct {
	ID uint64
	// ElectionTicks is the minimum election timeout in calls of Core.Tick. The
	// actual one is drawn from [ElectionTicks, 2*ElectionTicks) for each election.
	ElectionTicks int
	// MinElectionTimeout is the minimum election timeout in the unit of Now. A member
	// that has heard from a leader within this time neither starts an election nor
	// supports one for a newer term, whatever its ticks, except in a transfer.
	MinElectionTimeout int64
	Now                int64
	Rand               *rand.Rand
	// MaxAppendBytes limits the size of the entries in one append message, which has
	// at least one entry. MaxInflight limits the unacknowledged appends per member, and
	// MaxInflightBytes the size of their entries: no append is sent once it is reached.
	// SnapshotChunkBytes limits the snapshot data in one message.
	MaxAppendBytes     int
	MaxInflight        int
	MaxInflightBytes   int
	SnapshotChunkBytes int
}

// PersistedState is the state that a member has on its disk when it starts. A member
// of a new group has only the initial membership, in Snapshot.Members; one that joins an
// existing group starts from the zero value.
type PersistedState struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries start at the index after the snapshot's position and have no gap.
	Entries []Entry
}

// Ready is the pending work of the caller. Messages may be sent at any time. Snapshot
// replaces the whole log. Once HardState, Snapshot and Entries are durable, the caller sends AfterPersist, applies
// Snapshot and then Committed, and calls Core.Advance. Entries replace the entries of
// the log from their first index on.
type Ready struct {
	Messages     []Message
	HardState    *HardState
	Snapshot     *Snapshot
	Entries      []Entry
	AfterPersist []Message
	Committed    []Entry
}

// MustPersist reports whether the Ready contains state that must be made durable.
func (r Ready) MustPersist() bool {
	return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0
}

func (r Ready) empty() bool {
	return !r.MustPersist() && len(r.Messages) == 0 && len(r.AfterPersist) == 0 && len(r.Committed) == 0
}
