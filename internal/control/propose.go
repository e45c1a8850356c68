package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// Propose commits a command of an entry. A refused command is no error; the result in
// the reply has the refusal. If the command is a configuration change and
// WaitInForceMS is positive, the reply to an accepted change is sent when the change
// is in force everywhere, or when this time has passed.
//
// The error is a *wire.ErrorBody. After CodeUncertain the command may have been
// committed, or may be later; after CodeNotLeader, CodeUnsupported (a command that
// only the leader itself may propose) and CodeBadMessage (a command that can't be stored)
// it was not.
func (s *Server) Propose(ctx context.Context, req wire.ProposeRequest) (*wire.ProposeReply, error) {
	if _, err := s.checkLeadership(); err != nil {
		return nil, err
	}
	if req.Command.Grant != nil || req.Command.InForce != nil {
		return nil, &wire.ErrorBody{Code: wire.CodeUnsupported, Message: "only the leader makes this command"}
	}
	res, err := s.log.Propose(ctx, req.Command)
	if err != nil {
		return nil, s.proposeError(err)
	}
	reply := &wire.ProposeReply{Result: res}
	if req.Command.Change == nil || res.Refusal != nil {
		return reply, nil
	}
	wait := time.Duration(req.WaitInForceMS) * time.Millisecond
	s.waitFor(ctx, wait, func(st *fleet.State) bool {
		reply.InForce = st.InForce >= res.Revision
		reply.InForceAt = st.InForceAt(res.Revision)
		return reply.InForce
	})
	return reply, nil
}

// JobWait returns a job, without its payload, once it is in a final state, or its
// present state after req.WaitMS, at most 30 s. The job is nil if it is not known or
// belongs to another team. The error is a *wire.ErrorBody with CodeNotLeader.
func (s *Server) JobWait(ctx context.Context, req wire.JobWaitRequest) (*wire.JobWaitReply, error) {
	l, err := s.checkLeadership()
	if err != nil {
		return nil, err
	}
	var reply *wire.JobWaitReply
	wait := min(time.Duration(req.WaitMS)*time.Millisecond, maxJobWait)
	s.waitFor(ctx, wait, func(st *fleet.State) bool {
		reply = &wire.JobWaitReply{Expired: st.Expired(req.ID)}
		j := st.Jobs[req.ID]
		if j == nil || j.Team != "" && j.Team != req.Team {
			return true
		}
		reply.Job = st.View(req.ID)
		return j.State.Final()
	})
	if err := s.confirmTerm(l.Term); err != nil {
		return nil, err
	}
	return reply, nil
}

// waitFor calls done with the present state and after each change of it, until done
// returns true, the wait time has passed or ctx ends. done is called at least once.
func (s *Server) waitFor(ctx context.Context, wait time.Duration, done func(*fleet.State) bool) {
	timer, stop := s.clock.Timer(wait)
	defer stop()
	for {
		changed := s.log.Changed()
		ok := false
		s.log.Read(func(st *fleet.State) { ok = done(st) })
		if ok || wait <= 0 {
			return
		}
		select {
		case <-changed:
		case <-timer:
			return
		case <-ctx.Done():
			return
		}
	}
}

// Status returns the state of the log and, with Detail, the configuration, the status
// of the instances and the maintenance plans. Like the other requests it is answered
// only by the leader; the error is a *wire.ErrorBody with CodeNotLeader.
func (s *Server) Status(_ context.Context, req wire.StatusRequest) (*wire.StatusReply, error) {
	l, err := s.checkLeadership()
	if err != nil {
		return nil, err
	}
	reply := &wire.StatusReply{Leader: l.Leader, Term: l.Term, Jobs: map[fleet.JobState]int{}, Usage: map[string]int{}}
	if s.members != nil {
		reply.Members = s.members()
	}
	s.log.Read(func(st *fleet.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.addSummary(reply, st)
		if req.Detail {
			addDetail(reply, st)
		}
		reply.Audit = newestRecords(st.Audit, req.AuditLimit)
	})
	return reply, nil
}

func (s *Server) addSummary(reply *wire.StatusReply, st *fleet.State) {
	reply.Applied = st.Applied
	reply.Now = st.Now
	reply.Revision = st.Config.Revision
	reply.Entries = s.liveEntries()
	reply.Tasks = map[string]int{}
	for _, j := range st.Jobs {
		reply.Jobs[j.State]++
		if j.State == fleet.JobAssigned {
			reply.Tasks[j.Worker]++
		}
	}
	live := s.leaseHolders()
	for team := range st.Config.Teams {
		if n := s.usage(st, team, live); n > 0 {
			reply.Usage[team] = n
		}
	}
}

func addDetail(reply *wire.StatusReply, st *fleet.State) {
	cfg := st.Config
	reply.Config = &cfg
	reply.Status = maps.Clone(st.Status)
	reply.Plans = maps.Clone(st.Plans)
}

// newestRecords returns up to limit audit records, newest first.
func newestRecords(audit []fleet.AuditRecord, limit int) []fleet.AuditRecord {
	n := min(max(0, limit), len(audit))
	out := slices.Clone(audit[len(audit)-n:])
	slices.Reverse(out)
	return out
}
