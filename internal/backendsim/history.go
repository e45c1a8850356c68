package backendsim

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Event is one line of the history file.
type Event struct {
	TimeUnixNS  int64  `json:"time_unix_ns"`
	Kind        string `json:"event"`
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	Service     string `json:"service"`
	RequestID   string `json:"request_id,omitempty"`
	Team        string `json:"team,omitempty"`
	// Entry is the instance name of the entry that sent a call, or the address
	// of the entry that took an announcement.
	Entry       string `json:"entry,omitempty"`
	Running     int    `json:"running"`
	Connections int    `json:"connections"`
}

// Event kinds. EventAborted is a call that ended without a whole answer.
const (
	EventAnnounce = "announce"
	EventLeave    = "leave"
	EventStart    = "start"
	EventFinish   = "finish"
	EventAborted  = "aborted"
	EventRefuse   = "refuse"
	EventExit     = "exit"
)

// history writes events as JSON lines, each with one write.
type history struct {
	mu  sync.Mutex
	out io.Writer
}

func (h *history) write(ev Event) {
	ev.TimeUnixNS = time.Now().UnixNano()
	line, err := json.Marshal(ev)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	_, _ = h.out.Write(append(line, '\n'))
}
