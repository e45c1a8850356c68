package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// Propose commits a command of an entry. With WaitInForceMS the reply to an
// accepted change comes when the change is in force, or when the time is up.
func (s *Server) Propose(ctx context.Context, req wire.ProposeRequest) (*wire.ProposeReply, error) {
	if _, err := s.leading(); err != nil {
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

// JobWait returns a job at once, or when it is final or the time is up.
func (s *Server) JobWait(ctx context.Context, req wire.JobWaitRequest) (*wire.JobWaitReply, error) {
	l, err := s.leading()
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
	if err := s.confirm(l.Term); err != nil {
		return nil, err
	}
	return reply, nil
}

// waitFor calls done with each further state until it returns true, the time is
// up or the context ends.
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

// Status describes the log and, with Detail, the fleet as this store sees it. It
// is answered by every store.
func (s *Server) Status(_ context.Context, req wire.StatusRequest) (*wire.StatusReply, error) {
	l := s.log.Leadership()
	reply := &wire.StatusReply{Leader: l.Leader, Term: l.Term, Jobs: map[fleet.JobState]int{}, Usage: map[string]int{}}
	if s.members != nil {
		reply.Members = s.members()
	}
	s.log.Read(func(st *fleet.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.describe(reply, st)
		if req.Detail {
			detail(reply, st)
		}
		reply.Audit = newest(st.Audit, req.AuditLimit)
	})
	return reply, nil
}

func (s *Server) describe(reply *wire.StatusReply, st *fleet.State) {
	reply.Applied = st.Applied
	reply.Now = st.Now
	reply.Revision = st.Config.Revision
	reply.Entries = s.liveEntries()
	for _, j := range st.Jobs {
		reply.Jobs[j.State]++
	}
	live := s.liveHolders()
	for team := range st.Config.Teams {
		if n := s.usage(st, team, live); n > 0 {
			reply.Usage[team] = n
		}
	}
}

func detail(reply *wire.StatusReply, st *fleet.State) {
	cfg := st.Config
	reply.Config = &cfg
	reply.Status = maps.Clone(st.Status)
	reply.Plans = maps.Clone(st.Plans)
}

func newest(audit []fleet.AuditRecord, limit int) []fleet.AuditRecord {
	n := min(max(0, limit), len(audit))
	out := slices.Clone(audit[len(audit)-n:])
	slices.Reverse(out)
	return out
}
