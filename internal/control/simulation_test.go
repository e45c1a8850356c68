package control

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/lease"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// The seed is fixed, so that each run checks the same histories. The flag -rapid.seed
// overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// process is a model of one process of an entry.
type process struct {
	name      string
	holder    lease.Holder
	seq       uint64
	lastReply uint64
	granted   int
	revision  fleet.Revision
	// inFlight holds the requests without an applied reply, by sequence.
	inFlight map[uint64]message
	// calls holds the start times of the running calls.
	calls []time.Time
}

type message struct {
	req    wire.RenewRequest
	sent   time.Time
	from   *process
	reply  *wire.RenewReply
	number uint64
}

type simulation struct {
	*testServer
	rt        *rapid.T
	term      uint64
	processes []*process
	requests  []message
	replies   []message
	jobs      int
	assigned  []string
}

const simulationLimit = 5

func (s *simulation) send(p *process) {
	p.seq++
	m := func(n int) map[string]int { return map[string]int{"a": n} }
	req := wire.RenewRequest{
		Instance: p.name, Incarnation: fmt.Sprint(len(p.name)), Sequence: p.seq, Term: p.holder.Term(), Revision: p.revision,
		Wanted: m(rapid.SampledFrom([]int{0, 3, 5, 6, 6}).Draw(s.rt, "wanted")), Used: m(len(p.calls)), Granted: m(p.granted),
	}
	msg := message{req: req, sent: s.clock.Now(), from: p, number: p.seq}
	p.inFlight[p.seq] = msg
	s.requests = append(s.requests, msg)
}

// deliverRequest delivers one of the last four requests to the leader, possibly late
// or repeated.
func (s *simulation) deliverRequest() {
	if len(s.requests) == 0 {
		return
	}
	recent := s.requests[max(0, len(s.requests)-4):]
	m := rapid.SampledFrom(recent).Draw(s.rt, "request")
	reply, err := s.Renew(context.Background(), m.req)
	if err == nil {
		m.reply = reply
		s.replies = append(s.replies, m)
	}
}

// deliverReply delivers a reply to its process, possibly late or out of order.
func (s *simulation) deliverReply() {
	if len(s.replies) == 0 {
		return
	}
	i := rapid.SampledFrom([]int{0, len(s.replies) - 1, len(s.replies) - 1}).Draw(s.rt, "reply")
	m := s.replies[i]
	s.replies = append(s.replies[:i], s.replies[i+1:]...)
	p := m.from
	if m.number <= p.lastReply || !p.holder.Renew(m.reply.Term, m.sent, lease.Duration) {
		return
	}
	p.lastReply = m.number
	p.granted = m.reply.Grants["a"]
	p.revision = max(p.revision, m.reply.Revision)
	for n := range p.inFlight {
		if n <= m.number {
			delete(p.inFlight, n)
		}
	}
}

func (s *simulation) admit(p *process) {
	bound := p.granted
	for _, m := range p.inFlight {
		bound = min(bound, m.req.Wanted["a"])
	}
	for p.holder.Valid(s.clock.Now()) && len(p.calls) < bound {
		p.calls = append(p.calls, s.clock.Now())
	}
}

func (s *simulation) advance(d time.Duration) {
	s.clock.advance(d)
	for _, p := range s.processes {
		for len(p.calls) > 0 && s.clock.Now().Sub(p.calls[0]) >= fleet.MaxCallTime {
			p.calls = p.calls[1:]
		}
	}
}

func (s *simulation) startJob() {
	s.jobs++
	id := fmt.Sprint("job", s.jobs)
	s.propose(fleet.Command{Submit: &fleet.JobSubmit{ID: id, Team: "a", KeyID: "k", Queue: "q"}})
	r := s.propose(fleet.Command{Assign: &fleet.JobAssign{Assignments: []fleet.Assignment{{JobID: id, Worker: "w", Incarnation: "1"}}}})
	if len(r.Rejected) == 0 {
		s.assigned = append(s.assigned, id)
	}
}

func (s *simulation) endJob() {
	if len(s.assigned) == 0 {
		return
	}
	o := fleet.JobOutcome{JobID: s.assigned[0], Attempt: 1, Kind: fleet.OutcomeDone}
	s.propose(fleet.Command{Outcome: &fleet.JobOutcomes{Outcomes: []fleet.JobOutcome{o}}})
	s.assigned = s.assigned[1:]
}

func (s *simulation) step() {
	p := rapid.SampledFrom(s.processes).Draw(s.rt, "process")
	switch rapid.SampledFrom([]int{0, 0, 1, 1, 2, 2, 3, 3, 3, 4, 4, 5, 6, 6, 7, 8, 9, 10, 10, 10, 10, 10}).Draw(s.rt, "step") {
	case 0:
		s.send(p)
	case 1:
		s.deliverRequest()
	case 2:
		s.deliverReply()
	case 3:
		s.admit(p)
	case 4:
		s.startJob()
	case 5:
		s.endJob()
	case 6:
		s.advance(time.Duration(rapid.SampledFrom([]int{1, 100, 300, 900, 4000}).Draw(s.rt, "ms")) * time.Millisecond)
	case 7:
		s.reconcile(context.Background())
	case 8:
		if rapid.SampledFrom([]bool{false, false, true}).Draw(s.rt, "election") {
			s.term++
			s.log.setLeading(true, s.term)
		}
	case 9:
		s.change(fleet.ChangeItem{PutDataCentre: &fleet.DataCentre{Name: "dc"}})
	case 10:
		s.send(p)
		s.deliverRequest()
		s.deliverReply()
		s.admit(p)
	}
	if len(p.calls) > 0 && rapid.SampledFrom([]bool{false, false, false, true}).Draw(s.rt, "call ends") {
		p.calls = p.calls[1:]
	}
}

func (s *simulation) check() {
	running := len(s.assigned)
	for _, p := range s.processes {
		running += len(p.calls)
	}
	require.LessOrEqual(s.rt, running, simulationLimit)
	var inForce fleet.Revision
	s.log.Read(func(st *fleet.State) { inForce = st.InForce })
	for _, p := range s.processes {
		if p.holder.Valid(s.clock.Now()) {
			require.GreaterOrEqual(s.rt, p.revision, inForce)
		}
	}
}

// TestSimulation checks that a team never runs more than its limit, and that no entry
// with a lease acts on a configuration older than the one reported as in force.
// Requests and replies are lost, late, repeated and out of order, entries stop
// sending, and leaders change.
func TestSimulation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &simulation{testServer: newTestServer(t, simulationLimit), rt: rt, term: 1}
		for _, name := range []string{"e", "ee", "eee"} {
			s.processes = append(s.processes, &process{name: name, inFlight: map[uint64]message{}})
		}
		for range 150 {
			s.step()
			s.check()
		}
	})
}
