package raft

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	// One tick is 50 ms. The slow link carries 2 MB/s.
	slowLinkBytesPerTick = 100 << 10
	lagEntryBytes        = 10 << 10
	lagEntries           = 300
	lagTicks             = 120
)

// slowLink is a FIFO link of limited bandwidth without a limit of its queue.
type slowLink struct {
	queue  []Message
	bytes  int
	budget int
}

func messageBytes(m Message) int { return sizeOf(m.Entries) + len(m.Chunk) + 100 }

func (l *slowLink) send(m Message) {
	l.queue = append(l.queue, m)
	l.bytes += messageBytes(m)
}

// receive returns the messages that arrive in one tick.
func (l *slowLink) receive() []Message {
	l.budget = min(l.budget+slowLinkBytesPerTick, slowLinkBytesPerTick)
	var out []Message
	for len(l.queue) > 0 && l.budget > 0 {
		m := l.queue[0]
		l.queue = l.queue[1:]
		l.budget -= messageBytes(m)
		l.bytes -= messageBytes(m)
		out = append(out, m)
	}
	return out
}

func congestionNode(id uint64, members []Member) *Core {
	return New(Config{
		ID: id, ElectionTicks: 10, MinElectionTimeout: 10, Rand: rand.New(rand.NewPCG(7, id)),
		MaxAppendBytes: 128 << 10, MaxInflight: 32, MaxInflightBytes: 256 << 10, SnapshotChunkBytes: 256 << 10,
	}, PersistedState{Snapshot: Snapshot{Position: Position{Members: members}}})
}

// drain handles all pending work of a member, whose disk is instant, and returns its
// messages.
func drain(c *Core) []Message {
	messages := c.Messages()
	for {
		rd, ok := c.Ready()
		if !ok {
			return messages
		}
		messages = append(messages, rd.Messages...)
		messages = append(messages, rd.AfterPersist...)
		c.Advance(rd)
	}
}

// A member that was cut off while the log grew by megabytes must catch up over a link that
// carries twice what is appended, and must answer the leader in time meanwhile. Resending
// megabytes at a fixed rate would keep the link full for good: the member would be of no use
// for a majority, and would support its leader with heartbeats that were sent long ago.
func TestLaggingMemberCatchesUpOverASlowLink(t *testing.T) {
	members := []Member{{ID: 1, Address: "1"}, {ID: 2, Address: "2"}, {ID: 3, Address: "3"}}
	nodes := map[uint64]*Core{}
	for _, m := range members {
		nodes[m.ID] = congestionNode(m.ID, members)
	}
	leader, slow := nodes[1], nodes[2]
	link, connected := &slowLink{}, false
	deliver := func(from uint64) {
		for pending := drain(nodes[from]); len(pending) > 0; pending = pending[1:] {
			m := pending[0]
			switch {
			case (m.To == 2 || m.From == 2) && !connected:
			case m.From == 1 && m.To == 2:
				link.send(m)
			default:
				nodes[m.To].Step(nodes[m.To].now, m)
				pending = append(pending, drain(nodes[m.To])...)
			}
		}
	}
	tick := func(now int64) {
		for _, id := range []uint64{1, 2, 3} {
			nodes[id].Tick(now)
		}
		deliver(1)
		deliver(3)
		for _, m := range link.receive() {
			slow.Step(now, m)
		}
		deliver(2)
		deliver(1)
	}
	leader.campaign(Candidate, true)
	now := int64(1)
	for ; now < 20; now++ {
		tick(now)
	}
	require.Equal(t, Leader, leader.role)
	propose := func(entries int) {
		for range entries {
			_, err := leader.Propose([][]byte{make([]byte, lagEntryBytes)})
			require.NoError(t, err)
		}
	}
	propose(lagEntries)
	tick(now)
	connected = true
	for end := now + lagTicks; now < end; now++ {
		propose(4)
		tick(now)
		if now > end-lagTicks/2 {
			require.Less(t, now-leader.MemberContact(2), leader.cfg.MinElectionTimeout, "the member answers within an election timeout")
		}
	}
	require.LessOrEqual(t, leader.log.last()-leader.Match(2), uint64(40), "the member has caught up")
	require.LessOrEqual(t, link.bytes, 3*256<<10, "the queue of the link is bounded")
}
