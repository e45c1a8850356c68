package backendsim

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/history"
)

const maxBodyBytes = 4 << 20

// Config describes one simulated backend server.
type Config struct {
	Instance    string
	Service     string
	Entries     []string
	Slots       int
	Connections int
	// Mean is the mean service time, and Distribution its form: "fixed",
	// "uniform" (0 to twice the mean) or "exponential".
	Mean         time.Duration
	Distribution string
	Seed         uint64
	// Grace is the time for which a leaving backend server goes on serving.
	Grace time.Duration
	// History records starts, ends and the leave; nil records nothing.
	History *history.Writer
	Faults  Faults
}

// Faults are the injected faults; shares are between 0 and 1.
type Faults struct {
	LateShare      float64 `json:"late_share,omitempty"`
	LateMS         int64   `json:"late_ms,omitempty"`
	CrossedShare   float64 `json:"crossed_share,omitempty"`
	TruncatedShare float64 `json:"truncated_share,omitempty"`
	// FailShare answers calls with status 500 after running them.
	FailShare float64 `json:"fail_share,omitempty"`
	// DropShare closes the connection after running the call.
	DropShare float64 `json:"drop_share,omitempty"`
	// Freeze stops answers and announcements until it is cleared.
	Freeze bool `json:"freeze,omitempty"`
}

// Server is a running simulated backend server.
type Server struct {
	cfg         Config
	incarnation string
	listener    net.Listener
	client      *http.Client

	mu       sync.Mutex
	rnd      *rand.Rand
	faults   Faults
	thawed   chan struct{}
	running  int
	conns    int
	leaving  bool
	sequence uint64
	lastID   string
	lastBody []byte
}

// New returns a server on an open listener.
func New(cfg Config, listener net.Listener) *Server {
	s := &Server{
		cfg:         cfg,
		incarnation: strconv.FormatInt(time.Now().UnixNano(), 36),
		listener:    listener,
		client:      &http.Client{Timeout: time.Second, Transport: &http.Transport{}},
		rnd:         rand.New(rand.NewPCG(cfg.Seed, 2)),
		thawed:      make(chan struct{}),
	}
	close(s.thawed)
	s.setFaults(cfg.Faults)
	return s
}

// Run serves until ctx ends, then announces that it leaves, goes on for the
// grace time, and waits for the calls in flight.
func (s *Server) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /call/{service}", s.handleCall)
	mux.HandleFunc("PUT /faults", s.handleFaults)
	server := &http.Server{Handler: mux, ConnState: s.countConns}
	s.record(history.Ready, "", "", "")
	announce, endAnnounce := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); s.announceLoop(announce) }()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(s.listener) }()
	var err error
	select {
	case <-ctx.Done():
		err = s.leave(server)
	case err = <-failed:
	}
	endAnnounce()
	wg.Wait()
	s.client.CloseIdleConnections()
	return err
}

func (s *Server) leave(server *http.Server) error {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.record(history.Leave, "", "", "")
	s.announce()
	timer := time.NewTimer(s.cfg.Grace)
	defer timer.Stop()
	<-timer.C
	s.setFaults(Faults{})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return errors.Wrap(server.Shutdown(ctx), "backendsim: calls in flight did not end")
}

func (s *Server) countConns(_ net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns++
	case http.StateClosed, http.StateHijacked:
		s.conns--
	}
}

// handleCall serves POST /call/{service}.
func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(api.HeaderRequestID)
	w.Header().Set(api.HeaderRequestID, id)
	from := strings.TrimPrefix(r.UserAgent(), "samphire-entry/")
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	if r.PathValue("service") != s.cfg.Service || !s.begin() {
		w.Header().Set(api.HeaderNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	team := r.Header.Get(api.HeaderTeam)
	s.record(history.Start, id, team, from)
	s.work()
	// The finish is recorded before the answer leaves, since the entry may start
	// another call of the team as soon as it has the answer.
	s.record(history.Finish, id, team, from)
	s.end()
	s.respond(w, id, body)
}

func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.cfg.Slots {
		return false
	}
	s.running++
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// work takes the service time and the time of the faults.
func (s *Server) work() {
	s.mu.Lock()
	d := s.serviceTime()
	if s.rnd.Float64() < s.faults.LateShare {
		d += time.Duration(s.faults.LateMS) * time.Millisecond
	}
	thawed := s.thawed
	s.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
	<-thawed
}

func (s *Server) serviceTime() time.Duration {
	mean := float64(s.cfg.Mean)
	switch s.cfg.Distribution {
	case "uniform":
		return time.Duration(2 * mean * s.rnd.Float64())
	case "exponential":
		return time.Duration(mean * s.rnd.ExpFloat64())
	default:
		return s.cfg.Mean
	}
}

// respond writes the answer, or what a fault makes of it.
func (s *Server) respond(w http.ResponseWriter, id string, body []byte) {
	s.mu.Lock()
	faults := s.faults
	otherID, otherBody := s.lastID, s.lastBody
	s.lastID, s.lastBody = id, body
	draw := s.rnd.Float64()
	s.mu.Unlock()
	answer := Answer(id, body)
	header := w.Header()
	header.Set(api.HeaderContentType, "application/octet-stream")
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	if draw -= faults.CrossedShare; draw < 0 {
		if otherID == "" || otherID == id {
			otherID = id + "-other"
		}
		answer = Answer(otherID, otherBody)
		header.Set(api.HeaderRequestID, otherID)
		header.Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = w.Write(answer)
		return
	}
	if draw -= faults.TruncatedShare; draw < 0 {
		_, _ = w.Write(answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if draw -= faults.FailShare; draw < 0 {
		http.Error(w, "injected failure", http.StatusInternalServerError)
		return
	}
	if draw -= faults.DropShare; draw < 0 {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
}

// handleFaults serves PUT /faults: it replaces the injected faults.
func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.setFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) setFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.Freeze && !s.faults.Freeze {
		s.thawed = make(chan struct{})
	}
	if !faults.Freeze && s.faults.Freeze {
		close(s.thawed)
	}
	s.faults = faults
}

func (s *Server) record(kind history.Kind, id, team, from string) {
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	s.cfg.History.Record(history.Event{
		Kind: kind, RequestID: id, Team: team, Target: s.cfg.Service, Entry: from, Running: running,
	})
}
