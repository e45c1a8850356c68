// Package history records what callers, backend servers, workers and operators
// observed, one JSON object a line, and checks the recorded events against the
// ten invariants of the design.
//
// The checker uses no counter of the system itself. All recorders run on one
// machine in a test fleet, so their clocks are the same clock.
package history

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Kind tells what was observed.
type Kind string

// Kinds of events, by who records them.
const (
	// Callers.
	Send           Kind = "send"
	Answer         Kind = "answer"
	ConnectionLost Kind = "connection_lost"
	// Backend servers and workers.
	Start  Kind = "start"
	Finish Kind = "finish"
	Leave  Kind = "leave"
	Drain  Kind = "drain"
	Reboot Kind = "reboot"
	Ready  Kind = "ready"
	// Operators.
	ChangeAccepted Kind = "change_accepted"
	ChangeInForce  Kind = "change_in_force"
	KeyWithdrawn   Kind = "key_withdrawn"
	RevisionSeen   Kind = "revision_seen"
	MembersSeen    Kind = "members_seen"
	// The driver of a test.
	Terminated Kind = "terminated"
	Killed     Kind = "killed"
)

// Event is one observation.
type Event struct {
	UnixNS int64  `json:"unix_ns"`
	Actor  string `json:"actor"`
	Kind   Kind   `json:"kind"`

	RequestID  string `json:"request_id,omitempty"`
	Attempt    int    `json:"attempt,omitempty"`
	Team       string `json:"team,omitempty"`
	KeyID      string `json:"key_id,omitempty"`
	Target     string `json:"target,omitempty"`
	Entry      string `json:"entry,omitempty"`
	Idempotent bool   `json:"idempotent,omitempty"`
	Verdict    string `json:"verdict,omitempty"`
	Code       string `json:"code,omitempty"`
	// Running is the number of calls in progress at a backend server.
	Running int `json:"running,omitempty"`
	// Intact is true when the caller found the answer whole and its own.
	Intact   bool     `json:"intact,omitempty"`
	Revision uint64   `json:"revision,omitempty"`
	Members  []string `json:"members,omitempty"`
	Detail   string   `json:"detail,omitempty"`
}

// Writer appends events to a file. Each event reaches the operating system
// before Record returns, so a killed process loses none.
type Writer struct {
	actor string
	mu    sync.Mutex
	file  *os.File
}

// NewWriter opens path for appending.
func NewWriter(path, actor string) (*Writer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "history: open")
	}
	return &Writer{actor: actor, file: f}, nil
}

// Record stamps and writes one event. A nil Writer records nothing.
func (w *Writer) Record(e Event) {
	if w == nil {
		return
	}
	if e.Actor == "" {
		e.Actor = w.actor
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.UnixNS == 0 {
		e.UnixNS = time.Now().UnixNano()
	}
	line, err := json.Marshal(e)
	if err != nil {
		return
	}
	_, _ = w.file.Write(append(line, '\n'))
}

// Close closes the file.
func (w *Writer) Close() error {
	if w == nil {
		return nil
	}
	return w.file.Close()
}

// Read returns the events of a file. A torn last line, left by a killed process, is dropped.
func Read(path string) ([]Event, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "history: open")
	}
	defer func() { _ = f.Close() }()
	var events []Event
	lines := bufio.NewScanner(f)
	lines.Buffer(make([]byte, 64<<10), 4<<20)
	for lines.Scan() {
		var e Event
		if json.Unmarshal(lines.Bytes(), &e) == nil {
			events = append(events, e)
		}
	}
	return events, errors.Wrap(lines.Err(), "history: read")
}
