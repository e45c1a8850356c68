package history

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func at(seconds float64, e Event) Event {
	e.UnixNS = int64(seconds * float64(time.Second))
	return e
}

// Guards against a checker that misses a violation. Each case violates one invariant, and
// only the row of that invariant may report it.
func TestCheckFindsEachViolation(t *testing.T) {
	fleet := Fleet{
		Limits:       map[string]int{"t": 1},
		Budgets:      map[string]int{"p": 1},
		PoolOf:       map[string]string{"w1": "p", "w2": "p", "w3": "q"},
		PoolOfTarget: map[string]string{"queue": "p"},
	}
	send := Event{Actor: "caller", Kind: Send, RequestID: "r", Team: "t", KeyID: "k", Target: "queue", Entry: "e1"}
	tests := []struct {
		name   string
		row    int
		events []Event
	}{
		{"budget", 1, []Event{at(1, Event{Actor: "w1", Kind: Drain}), at(2, Event{Actor: "w2", Kind: Drain}), at(3, Event{Actor: "w1", Kind: Ready})}},
		{"pool", 2, []Event{at(1, send), at(2, Event{Actor: "w3", Kind: Start, RequestID: "r"})}},
		{"listed twice", 2, []Event{at(1, Event{Kind: MembersSeen, Members: []string{"w1", "w1"}})}},
		{"key", 3, []Event{at(1, Event{Kind: KeyWithdrawn, KeyID: "k"}), at(5, send), at(6, Event{Actor: "w1", Kind: Start, RequestID: "r"})}},
		{"limit", 4, []Event{at(1, Event{Actor: "w1", Kind: Start, RequestID: "a", Team: "t"}), at(2, Event{Actor: "w2", Kind: Start, RequestID: "b", Team: "t"})}},
		{"answer", 5, []Event{at(1, Event{Kind: Answer, RequestID: "r", Verdict: "done"})}},
		{"not run", 6, []Event{at(1, send), at(2, Event{Actor: "w1", Kind: Start, RequestID: "r"}), at(3, Event{Kind: Answer, RequestID: "r", Verdict: "not_run"})}},
		{"twice", 7, []Event{at(1, send), at(2, Event{Actor: "w1", Kind: Start, RequestID: "r"}), at(2.5, Event{Actor: "w1", Kind: Finish, RequestID: "r"}), at(3, Event{Actor: "w2", Kind: Start, RequestID: "r"})}},
		{"leaving", 8, []Event{at(1, Event{Actor: "w1", Kind: Leave}), at(5, Event{Actor: "w1", Kind: Start, RequestID: "r"})}},
		{"stop", 9, []Event{at(1, send), at(2, Event{Kind: Terminated, Target: "e1"}), at(3, Event{Kind: ConnectionLost, RequestID: "r"})}},
		{"stopped backend", 9, []Event{at(1, Event{Actor: "w1", Kind: Start, RequestID: "r"}), at(2, Event{Kind: Terminated, Target: "w1"})}},
		{"reverts", 10, []Event{at(1, Event{Kind: RevisionSeen, Entry: "e1", Revision: 5}), at(2, Event{Kind: RevisionSeen, Entry: "e1", Revision: 4})}},
		{"late", 10, []Event{at(1, Event{Kind: ChangeAccepted, Revision: 2}), at(9, Event{Kind: ChangeInForce, Revision: 2})}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, row := range Check(fleet, tt.events) {
				want := 0
				if row.Number == tt.row {
					want = 1
				}
				require.Equal(t, want, min(row.Violations, 1), "row %d: %v", row.Number, row.Examples)
			}
		})
	}
}

// Guards against false violations: a request that runs when sent again after a refusal, a
// run that starts when another ends, and a backend server that serves again after leaving.
func TestCheckAcceptsAllowedHistory(t *testing.T) {
	fleet := Fleet{Limits: map[string]int{"t": 1}, Budgets: map[string]int{"p": 1}, PoolOf: map[string]string{"w1": "p"}}
	events := []Event{
		at(1, Event{Kind: Send, RequestID: "r", Team: "t", Attempt: 1}),
		at(2, Event{Kind: Answer, RequestID: "r", Verdict: "not_run", Attempt: 1}),
		at(3, Event{Kind: Send, RequestID: "r", Team: "t", Attempt: 2}),
		at(4, Event{Actor: "w1", Kind: Start, RequestID: "r"}),
		at(5, Event{Actor: "w1", Kind: Finish, RequestID: "r"}),
		at(5, Event{Actor: "w1", Kind: Start, RequestID: "s", Team: "t"}),
		at(6, Event{Kind: Answer, RequestID: "r", Verdict: "done", Intact: true, Attempt: 2}),
		at(7, Event{Actor: "w1", Kind: Finish, RequestID: "s"}),
	}
	events = append(events,
		at(8, Event{Actor: "b1", Kind: Leave}),
		at(12, Event{Actor: "b1", Kind: Ready}),
		at(13, Event{Actor: "b1", Kind: Start, RequestID: "u"}),
		at(14, Event{Actor: "b1", Kind: Finish, RequestID: "u"}),
	)
	for _, row := range Check(fleet, events) {
		require.Zero(t, row.Violations, "row %d: %v", row.Number, row.Examples)
	}
}
