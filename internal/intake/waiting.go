package intake

import "time"

const (
	// leaderWaitTimeout bounds the time for which a call that no store has accepted waits
	// for a leader. It is a fifth of the shortest latency target, so that callers still
	// have time to try another entry.
	leaderWaitTimeout = 700 * time.Millisecond
	// leaderWaitPercent is the part of a caller's remaining time for which its call may wait,
	// and electionWaitPercent that part while stores answer and may be electing a leader.
	leaderWaitPercent   = 33
	electionWaitPercent = 67
	// electionTimeout is the time after which stores that answer have elected a leader
	// unless they are a minority. Elections take up to 1.2 s.
	electionTimeout = 1500 * time.Millisecond
	// maxWaitingCalls bounds the calls of an entry that wait for a leader, and so its
	// memory: the largest body takes 256 KiB.
	maxWaitingCalls = 200
)

// Outlook is what an entry without a leader knows.
type Outlook struct {
	// LeaderlessFor is the time for which stores have answered that they know no leader. It
	// is 0 if no store answers.
	LeaderlessFor time.Duration
	// Remaining is the time that the caller still waits for its answer.
	Remaining time.Duration
	// Waiting is the number of calls that wait at this entry.
	Waiting int
}

// WaitForLeader returns how long a call should wait for a leader before it is refused as not
// run. It is 0 where waiting can't help.
//
// Load pattern: all stores are without power for seconds during a burst. A caller makes few
// attempts, and one that is refused at once may not come back after the stores do. A call that
// waits finds them, and the limits leave the caller the time for another attempt.
//
// A data centre that is cut off looks different: its own stores answer and elect nobody.
// Entries elsewhere can serve the caller, so it is refused at once.
func WaitForLeader(o Outlook) time.Duration {
	if o.LeaderlessFor > electionTimeout || o.Waiting >= maxWaitingCalls {
		return 0
	}
	share := time.Duration(leaderWaitPercent)
	if o.LeaderlessFor > 0 {
		share = electionWaitPercent
	}
	return max(min(leaderWaitTimeout, o.Remaining*share/100), 0)
}
