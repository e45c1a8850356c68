// Package history records the events that callers, backend servers, workers and operators
// observe, as one JSON object per line, and checks them against the ten invariants of the
// design.
//
// The check relies only on recorded events, never on the system's own metrics. All
// recorders of a test fleet run on one machine and share its clock, so time stamps of
// different recorders can be compared.
package history

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Kind is the kind of an Event.
type Kind string

// Event kinds, grouped by the recorder.
const (
	// Recorded by callers.
	Send           Kind = "send"
	Answer         Kind = "answer"
	ConnectionLost Kind = "connection_lost"
	// Recorded by backend servers and workers.
	Start  Kind = "start"
	Finish Kind = "finish"
	Leave  Kind = "leave"
	Drain  Kind = "drain"
	Reboot Kind = "reboot"
	Ready  Kind = "ready"
	// Recorded by operators.
	ChangeAccepted Kind = "change_accepted"
	ChangeInForce  Kind = "change_in_force"
	KeyWithdrawn   Kind = "key_withdrawn"
	RevisionSeen   Kind = "revision_seen"
	MembersSeen    Kind = "members_seen"
	// Recorded by the test driver. Terminated is a planned stop and Killed an immediate kill
	// of the process in Event.Target.
	Terminated Kind = "terminated"
	Killed     Kind = "killed"
)

// Event is one observation. Which fields are set depends on Kind.
type Event struct {
	// UnixNS is the time of the event in nanoseconds since the Unix epoch.
	UnixNS int64 `json:"unix_ns"`
	// Actor is the name of the process that recorded the event.
	Actor string `json:"actor"`
	Kind  Kind   `json:"kind"`

	RequestID  string `json:"request_id,omitempty"`
	Attempt    int    `json:"attempt,omitempty"`
	Team       string `json:"team,omitempty"`
	KeyID      string `json:"key_id,omitempty"`
	Target     string `json:"target,omitempty"`
	Entry      string `json:"entry,omitempty"`
	Idempotent bool   `json:"idempotent,omitempty"`
	Verdict    string `json:"verdict,omitempty"`
	Code       string `json:"code,omitempty"`
	// Running is the number of calls in progress on a backend server, including this one.
	Running int `json:"running,omitempty"`
	// Intact reports whether the caller received the complete answer to its own request.
	Intact   bool     `json:"intact,omitempty"`
	Revision uint64   `json:"revision,omitempty"`
	Members  []string `json:"members,omitempty"`
	Detail   string   `json:"detail,omitempty"`
}

// Writer appends events to a file without buffering: each event is handed to the operating
// system before Record returns, so it survives if the process is killed. It may be used by
// several goroutines, and a nil *Writer discards all events.
type Writer struct {
	actor string
	mu    sync.Mutex
	file  *os.File
}

// NewWriter opens or creates the file at path for appending. actor is recorded with each
// event that names no actor itself.
func NewWriter(path, actor string) (*Writer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "history: open")
	}
	return &Writer{actor: actor, file: f}, nil
}

// Record writes one event, filling in Actor and UnixNS if they are unset. Errors are
// ignored.
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

// Close closes the file. On a nil Writer it does nothing.
func (w *Writer) Close() error {
	if w == nil {
		return nil
	}
	return w.file.Close()
}

// Read returns the events in the file at path. Lines that are not valid JSON are skipped,
// such as an incomplete last line written by a process that was killed. A line longer than
// 4 MiB is an error.
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
