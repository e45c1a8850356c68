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

// Config holds the settings of a simulated backend server.
type Config struct {
	Instance string
	Service  string
	Entries  []string
	// Slots is the number of calls served at the same time; further calls are refused as
	// not run.
	Slots int
	// Connections is the connection limit that is announced. The server does not enforce it.
	Connections int
	// Mean is the mean service time. Distribution is "uniform" (from 0 to twice the mean),
	// "exponential" or "fixed"; any other value means "fixed".
	Mean         time.Duration
	Distribution string
	// Seed seeds the random service times and faults.
	Seed uint64
	// Grace is the time for which the server keeps accepting calls after it has announced
	// that it is leaving.
	Grace time.Duration
	// History receives the ready, start, finish and leave events. Nil disables recording.
	History *history.Writer
	Faults  Faults
}

// Faults selects the faults to inject. Each share is the fraction of calls affected, from
// 0 to 1. A call gets at most one of the crossed, truncated, fail and drop faults, so
// their shares should add up to no more than 1.
type Faults struct {
	// LateShare is the share of calls that take LateMS milliseconds longer.
	LateShare float64 `json:"late_share,omitempty"`
	LateMS    int64   `json:"late_ms,omitempty"`
	// CrossedShare is the share of calls that get the answer to another request.
	CrossedShare float64 `json:"crossed_share,omitempty"`
	// TruncatedShare is the share of calls whose connection is closed after half of the
	// answer.
	TruncatedShare float64 `json:"truncated_share,omitempty"`
	// FailShare is the share of calls that run and are then answered with status 500.
	FailShare float64 `json:"fail_share,omitempty"`
	// DropShare is the share of calls that run and whose connection is then closed without
	// an answer.
	DropShare float64 `json:"drop_share,omitempty"`
	// Freeze stops the regular announcements and holds back the answers to calls that begin
	// while it is set, until it is cleared.
	Freeze bool `json:"freeze,omitempty"`
}

// Server is a simulated backend server.
type Server struct {
	cfg         Config
	incarnation string
	listener    net.Listener
	client      *http.Client

	// mu guards the fields below.
	mu     sync.Mutex
	rng    *rand.Rand
	faults Faults
	// unfrozen is closed while the freeze fault is not set.
	unfrozen chan struct{}
	running  int
	conns    int
	leaving  bool
	sequence uint64
	// lastID and lastBody are those of the previous call, whose answer a crossed fault sends.
	lastID   string
	lastBody []byte
}

// New returns a server that accepts calls on listener once Run is called.
func New(cfg Config, listener net.Listener) *Server {
	s := &Server{
		cfg:         cfg,
		incarnation: strconv.FormatInt(time.Now().UnixNano(), 36),
		listener:    listener,
		client:      &http.Client{Timeout: time.Second, Transport: &http.Transport{}},
		rng:         rand.New(rand.NewPCG(cfg.Seed, 2)),
		unfrozen:    make(chan struct{}),
	}
	close(s.unfrozen)
	s.setFaults(cfg.Faults)
	return s
}

// Run serves calls until ctx is cancelled. It then announces that it is leaving, keeps
// serving for the grace time, clears all faults and waits up to 30 seconds for in-flight
// calls. It returns an error if the server fails or calls are still running after that.
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
	return errors.Wrap(server.Shutdown(ctx), "backendsim: wait for in-flight calls")
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

// handleCall serves POST /call/{service}. A call for another service, or one that finds no
// free slot, gets status 503 with the header that marks it as not run.
func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(api.HeaderRequestID)
	w.Header().Set(api.HeaderRequestID, id)
	from := strings.TrimPrefix(r.UserAgent(), "samphire-entry/")
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	if r.PathValue("service") != s.cfg.Service || !s.acquireSlot() {
		w.Header().Set(api.HeaderNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	team := r.Header.Get(api.HeaderTeam)
	s.record(history.Start, id, team, from)
	s.waitServiceTime()
	// Record the finish before sending the answer: the entry may start another call of the
	// team as soon as it receives the answer.
	s.record(history.Finish, id, team, from)
	s.releaseSlot()
	s.respond(w, id, body)
}

func (s *Server) acquireSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.cfg.Slots {
		return false
	}
	s.running++
	return true
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// waitServiceTime blocks for the service time, including the delays that late and freeze
// faults add.
func (s *Server) waitServiceTime() {
	s.mu.Lock()
	d := s.serviceTime()
	if s.rng.Float64() < s.faults.LateShare {
		d += time.Duration(s.faults.LateMS) * time.Millisecond
	}
	unfrozen := s.unfrozen
	s.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	<-timer.C
	<-unfrozen
}

func (s *Server) serviceTime() time.Duration {
	mean := float64(s.cfg.Mean)
	switch s.cfg.Distribution {
	case "uniform":
		return time.Duration(2 * mean * s.rng.Float64())
	case "exponential":
		return time.Duration(mean * s.rng.ExpFloat64())
	default:
		return s.cfg.Mean
	}
}

// respond writes the answer, or the result of the fault drawn for this call.
func (s *Server) respond(w http.ResponseWriter, id string, body []byte) {
	s.mu.Lock()
	faults := s.faults
	otherID, otherBody := s.lastID, s.lastBody
	s.lastID, s.lastBody = id, body
	draw := s.rng.Float64()
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

// handleFaults serves PUT /faults, which replaces all injected faults.
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
		s.unfrozen = make(chan struct{})
	}
	if !faults.Freeze && s.faults.Freeze {
		close(s.unfrozen)
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
