package raft

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// simDisk is the durable state of a simulated member.
type simDisk struct {
	hard    HardState
	snap    Snapshot
	entries []Entry
}

func (d *simDisk) write(rd Ready) {
	if rd.HardState != nil {
		d.hard = *rd.HardState
	}
	if rd.Snapshot != nil {
		d.snap, d.entries = *rd.Snapshot, nil
	}
	for _, e := range rd.Entries {
		if len(d.entries) > 0 && e.Index < d.entries[0].Index {
			d.entries = nil
		} else if len(d.entries) > 0 {
			d.entries = d.entries[:e.Index-d.entries[0].Index]
		}
		d.entries = append(d.entries, e)
	}
}

// entriesAfterSnapshot returns the durable entries that follow the snapshot.
func (d *simDisk) entriesAfterSnapshot() []Entry {
	for i, e := range d.entries {
		if e.Index > d.snap.Index {
			return d.entries[i:]
		}
	}
	return nil
}

type simNode struct {
	core    *Core
	disk    simDisk
	pending *Ready
	applied uint64
	state   uint64
	paused  bool
	// stalls keeps pending writes from completing.
	stalls bool
}

// maxLateTicks bounds the delay of late messages.
const maxLateTicks = 40

type inFlightMessage struct {
	due int
	m   Message
}

// simulation runs the members of a group over an unreliable network and checks the
// safety properties of Raft after each step.
type simulation struct {
	t        *testing.T
	rng      *rand.Rand
	now      int64
	nodes    map[uint64]*simNode
	ids      []uint64
	inFlight []inFlightMessage
	cut      map[[2]uint64]bool
	loss     float64
	// stall is the probability that a pending disk write does not complete when a
	// member is processed.
	stall float64
	// late is the probability that a message is delayed by up to maxLateTicks, past restarts.
	late float64
	// leaders holds the ID of the leader of each term.
	leaders map[uint64]uint64
	// committed holds a digest of the state after each applied index, terms the term of
	// the entry there, and firstSeenTerm the term of the member that first applied it.
	committed     map[uint64]uint64
	terms         map[uint64]uint64
	firstSeenTerm map[uint64]uint64
	leaseTicks    int
	// minElection is the minimum election timeout in ticks.
	minElection int
}

func newSimulation(t *testing.T, seed uint64, size int) *simulation {
	s := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[uint64]*simNode{}, cut: map[[2]uint64]bool{},
		leaders: map[uint64]uint64{}, committed: map[uint64]uint64{}, terms: map[uint64]uint64{},
		firstSeenTerm: map[uint64]uint64{}, minElection: 10,
	}
	var members []Member
	for id := uint64(1); id <= uint64(size); id++ {
		members = append(members, Member{ID: id, Address: fmt.Sprint(id)})
	}
	for _, m := range members {
		s.add(m.ID, members)
	}
	return s
}

func (s *simulation) add(id uint64, members []Member) {
	n := &simNode{}
	n.disk.snap.Members = members
	s.nodes[id] = n
	s.ids = append(s.ids, id)
	s.restart(id)
}

func simConfig(id uint64, now int64, rng *rand.Rand) Config {
	return Config{
		ID: id, ElectionTicks: 10, MinElectionTimeout: 10, Now: now, Rand: rng,
		MaxAppendBytes: 400, MaxInflight: 4, MaxInflightBytes: 1600, SnapshotChunkBytes: 3,
	}
}

// restart restarts a member from its disk, which loses unpersisted state.
func (s *simulation) restart(id uint64) {
	n := s.nodes[id]
	rng := rand.New(rand.NewPCG(s.rng.Uint64(), id))
	cfg := simConfig(id, s.now, rng)
	cfg.ElectionTicks, cfg.MinElectionTimeout = s.minElection, int64(s.minElection)
	n.core = New(cfg, PersistedState{HardState: n.disk.hard, Snapshot: n.disk.snap, Entries: n.disk.entriesAfterSnapshot()})
	n.pending = nil
	n.applied, n.state = n.disk.snap.Index, stateOf(n.disk.snap.Data)
}

// stateOf and dataOf convert between a state digest and snapshot data.
func stateOf(data []byte) uint64 {
	var state uint64
	for _, b := range data {
		state = state<<8 | uint64(b)
	}
	return state
}

func dataOf(state uint64) []byte {
	var data []byte
	for shift := 56; shift >= 0; shift -= 8 {
		data = append(data, byte(state>>shift))
	}
	return data
}

// step advances the simulation by one tick and checks the safety properties.
func (s *simulation) step() {
	s.now++
	s.deliver()
	for _, id := range s.ids {
		n := s.nodes[id]
		if n.paused {
			continue
		}
		n.core.Tick(s.now)
		s.processReady(id)
	}
	s.check()
}

func (s *simulation) deliver() {
	kept := s.inFlight[:0]
	var due []Message
	for _, f := range s.inFlight {
		if int64(f.due) > s.now {
			kept = append(kept, f)
			continue
		}
		due = append(due, f.m)
	}
	s.inFlight = kept
	s.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, m := range due {
		n, ok := s.nodes[m.To]
		if !ok || n.paused || s.cut[[2]uint64{m.From, m.To}] {
			continue
		}
		n.core.Step(s.now, m)
		s.processReady(m.To)
	}
}

// processReady processes the Ready of a member. A Ready may stay pending for some
// ticks, and is lost if the member crashes in that time.
func (s *simulation) processReady(id uint64) {
	n := s.nodes[id]
	s.transmit(n.core.Messages())
	for {
		if n.pending != nil {
			if n.stalls || s.rng.Float64() < s.stall {
				return
			}
			s.finish(n)
		}
		rd, ok := n.core.Ready()
		if !ok {
			return
		}
		s.transmit(rd.Messages)
		n.pending = &rd
	}
}

func (s *simulation) finish(n *simNode) {
	rd := *n.pending
	n.pending = nil
	n.disk.write(rd)
	s.transmit(rd.AfterPersist)
	if rd.Snapshot != nil {
		n.applied, n.state = rd.Snapshot.Index, stateOf(rd.Snapshot.Data)
		s.verify(n, rd.Snapshot.Term)
	}
	for _, e := range rd.Committed {
		require.Equal(s.t, n.applied+1, e.Index, "entries are applied in order")
		n.applied = e.Index
		n.state = n.state*1099511628211 + e.Index*31 + e.Term*7 + uint64(len(e.Data))
		for _, b := range e.Data {
			n.state = n.state*31 + uint64(b)
		}
		s.verify(n, e.Term)
	}
	n.core.Advance(rd)
	position, known := n.core.PositionAt(n.applied)
	require.Equal(s.t, n.applied >= n.core.log.base.Index, known)
	if s.rng.Float64() < 0.02 && n.applied > n.core.snapshot.Index {
		require.Equal(s.t, s.terms[n.applied], position.Term)
		snap := Snapshot{Position: position, Data: dataOf(n.state)}
		n.disk.snap = snap
		n.core.Compact(snap, snap.Index-min(snap.Index, uint64(s.rng.IntN(5))))
	}
}

// verify checks that all members have the same state after each index.
func (s *simulation) verify(n *simNode, term uint64) {
	state, ok := s.committed[n.applied]
	if !ok {
		s.committed[n.applied], s.terms[n.applied], s.firstSeenTerm[n.applied] = n.state, term, n.core.term
		return
	}
	require.Equal(s.t, state, n.state, "state machine safety at index %d", n.applied)
	require.Equal(s.t, s.terms[n.applied], term, "term at index %d", n.applied)
}

func (s *simulation) transmit(messages []Message) {
	for _, m := range messages {
		copies := 1
		if s.rng.Float64() < s.loss/4 {
			copies = 2
		}
		for range copies {
			if s.rng.Float64() >= s.loss {
				due := int(s.now) + 1 + s.rng.IntN(1+int(s.loss*20))
				if s.late > 0 && s.rng.Float64() < s.late {
					due += s.rng.IntN(maxLateTicks)
				}
				s.inFlight = append(s.inFlight, inFlightMessage{due: due, m: m})
			}
		}
	}
}

func (s *simulation) check() {
	leasing := 0
	for _, id := range s.ids {
		n := s.nodes[id]
		if n.core.role != Leader {
			continue
		}
		if first, ok := s.leaders[n.core.term]; ok {
			require.Equal(s.t, first, id, "one leader in term %d", n.core.term)
		}
		s.leaders[n.core.term] = id
		if st := n.core.Status(); st.Ready && s.now-st.QuorumContact < int64(s.minElection) {
			leasing++
		}
		s.checkComplete(n)
	}
	require.LessOrEqual(s.t, leasing, 1, "two leaders hold a lease")
	s.leaseTicks += leasing
}

// checkComplete checks that a leader has all entries that were applied by a member in
// an earlier term. The term of the entry itself does not tell when it was committed: a
// later leader may have done so.
func (s *simulation) checkComplete(n *simNode) {
	for index, term := range s.terms {
		if s.firstSeenTerm[index] >= n.core.term || index <= n.core.log.base.Index {
			continue
		}
		require.True(s.t, n.core.log.matches(index, term), "leader of term %d lacks index %d", n.core.term, index)
	}
}

// checkMatching checks that logs with equal terms at an index have equal terms at all
// earlier indices.
func (s *simulation) checkMatching() {
	for _, a := range s.ids {
		for _, b := range s.ids {
			la, lb := s.nodes[a].core.log, s.nodes[b].core.log
			agreed := false
			for i := min(la.last(), lb.last()); i > max(la.base.Index, lb.base.Index); i-- {
				ta, _ := la.term(i)
				agreed = agreed || lb.matches(i, ta)
				require.True(s.t, !agreed || lb.matches(i, ta), "log matching at index %d", i)
			}
		}
	}
}

func (s *simulation) leader() *simNode {
	for _, id := range s.ids {
		if n := s.nodes[id]; n.core.role == Leader && !n.paused && n.core.Status().Ready {
			return n
		}
	}
	return nil
}

func (s *simulation) propose(data string) bool {
	n := s.leader()
	if n == nil {
		return false
	}
	_, err := n.core.Propose([][]byte{[]byte(data)})
	return err == nil
}

// fault injects or removes a random fault, or transfers the leadership or changes the
// membership. spare is the ID of the next member to add.
func (s *simulation) fault(spare *uint64) {
	id := s.ids[s.rng.IntN(len(s.ids))]
	other := s.ids[s.rng.IntN(len(s.ids))]
	switch s.rng.IntN(9) {
	case 0:
		s.restart(id)
		s.restart(other)
	case 1:
		s.nodes[id].paused = true
	case 2, 3:
		s.nodes[id].paused = false
	case 4:
		s.cut[[2]uint64{id, other}] = true
	case 5:
		s.isolate(id)
	case 6:
		clear(s.cut)
	case 7:
		s.nodes[id].core.Transfer()
	case 8:
		s.changeMembers(spare)
	}
}

func (s *simulation) isolate(id uint64) {
	for _, other := range s.ids {
		s.cut[[2]uint64{id, other}] = true
		s.cut[[2]uint64{other, id}] = true
	}
}

// changeMembers adds a learner, promotes one, or removes a member if at least three
// remain.
func (s *simulation) changeMembers(spare *uint64) {
	n := s.leader()
	if n == nil {
		return
	}
	members := n.core.members
	target := members[s.rng.IntN(len(members))]
	switch {
	case target.Learner:
		_, _ = n.core.ChangeMembers(Change{Promote: target.ID})
	case len(members) > 3:
		_, _ = n.core.ChangeMembers(Change{Remove: target.ID})
	case len(members) < 6:
		if _, err := n.core.ChangeMembers(Change{Add: &Member{ID: *spare, Address: fmt.Sprint(*spare)}}); err == nil {
			s.add(*spare, nil)
			*spare++
		}
	}
}

func (s *simulation) heal() {
	clear(s.cut)
	s.loss, s.stall = 0, 0
	for _, n := range s.nodes {
		n.paused = false
	}
}

func (s *simulation) stepUntil(what string, steps int, cond func() bool) {
	s.t.Helper()
	for range steps {
		if cond() {
			return
		}
		s.step()
	}
	require.Fail(s.t, "not reached: "+what)
}
