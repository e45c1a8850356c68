package entry

import (
	"net/http"
	"sync"

	"github.com/samphirefork/samphirefork/internal/wire"
)

// connSet holds the connections that peers opened.
type connSet struct {
	mu    sync.Mutex
	conns map[*wire.Conn]struct{}
	ended bool
}

func (s *connSet) add(conn *wire.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false
	}
	if s.conns == nil {
		s.conns = map[*wire.Conn]struct{}{}
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *connSet) remove(conn *wire.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// serving returns the number of requests of peers whose reply has not been written.
func (s *connSet) serving() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for conn := range s.conns {
		n += conn.Serving()
	}
	return n
}

func (s *connSet) closeAll() {
	s.mu.Lock()
	s.ended = true
	conns := s.conns
	s.conns = nil
	s.mu.Unlock()
	for conn := range conns {
		conn.Close()
	}
}

// acceptPeer serves the connections of other processes.
func (e *Entry) acceptPeer(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != wire.Path {
		http.NotFound(w, r)
		return
	}
	conn, err := wire.Accept(w, r, e.creds, e.mux.Handle)
	if err != nil {
		e.log.Warn().Err(err).Str("remote", r.RemoteAddr).Msg("peer was refused")
		return
	}
	if !e.conns.add(conn) {
		conn.Close()
		return
	}
	<-conn.Done()
	e.conns.remove(conn)
}
