package intake

import (
	"strings"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
	"github.com/samphirefork/samphirefork/internal/workload"
)

// resolveRepetition returns the answer to a call of which an earlier attempt may have been carried
// out, given the answer that a first attempt would get. What has changed since, such as a key, a
// queue or the room for jobs, must not make a stored job appear as refused.
func (s *Server) resolveRepetition(call wire.JobCall, reply wire.JobCallReply) wire.JobCallReply {
	if call.Op != wire.JobSubmit && call.Op != wire.JobCancel || reply.Verdict == wire.VerdictOK {
		return reply
	}
	job := s.find(call)
	switch {
	case job.carriedOut:
		return wire.JobCallReply{Verdict: wire.VerdictOK, State: job.state}
	case holdsForAllAttempts(call.Op, reply.Verdict, job.known):
		return reply
	}
	return wire.JobCallReply{Verdict: wire.VerdictUnresolved, Detail: "an earlier attempt may still be carried out"}
}

// holdsForAllAttempts reports whether no earlier attempt can have been carried out either. That a
// submission is not valid depends on its content alone, and one whose identifier is that of another
// job was never accepted. known is true if there is a job with the identifier.
func holdsForAllAttempts(op wire.JobOp, v wire.JobVerdict, known bool) bool {
	switch v {
	case wire.VerdictInvalid, wire.VerdictConflict:
		return true
	case wire.VerdictNoJob:
		return op == wire.JobSubmit || !known
	default:
		return false
	}
}

// foundJob is what the state shows of the job of a call. carriedOut is true if an attempt at this call
// was carried out, rather than an earlier call of the same caller, which had rights of its own.
type foundJob struct {
	known, carriedOut bool
	state             workload.JobState
}

// find looks up the job of a call by its identifier and content alone: its key may belong to another
// team by now, and its path to another queue.
func (s *Server) find(call wire.JobCall) foundJob {
	id := call.Job
	if call.Queue == "" {
		id = call.Path[strings.LastIndexByte(call.Path, '/')+1:]
	}
	var found foundJob
	since := int64(s.log.Now()) - call.RepeatedAfterMS
	s.log.Read(func(st *fleet.State) {
		j, ok := st.Workload.Jobs[id]
		if !ok {
			return
		}
		found = foundJob{known: true, state: j.State}
		if call.Op == wire.JobCancel {
			found.carriedOut = j.State == workload.JobCancelled && j.EndedAt >= since
		} else {
			found.carriedOut = j.AcceptedAt >= since && call.Content != nil && j.IsOf(*call.Content)
		}
	})
	return found
}
