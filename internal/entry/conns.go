package entry

import (
	"net/http"
	"sync"

	"github.com/samphirefork/samphirefork/internal/httpserver"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// peerConnSet holds the connections that peers opened to this entry. The zero value
// is an empty set.
type peerConnSet struct {
	mu     sync.Mutex
	conns  map[*wire.Conn]struct{}
	closed bool
}

// add reports false, and does not add the connection, after closeAll.
func (s *peerConnSet) add(conn *wire.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if s.conns == nil {
		s.conns = map[*wire.Conn]struct{}{}
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *peerConnSet) remove(conn *wire.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// inFlight returns the number of requests of peers whose reply has not been
// written.
func (s *peerConnSet) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for conn := range s.conns {
		n += conn.ActiveRequests()
	}
	return n
}

// closeAll closes all connections and rejects later ones.
func (s *peerConnSet) closeAll() {
	s.mu.Lock()
	s.closed = true
	conns := s.conns
	s.conns = nil
	s.mu.Unlock()
	for conn := range conns {
		conn.Close()
	}
}

// acceptPeer serves a connection that another process opens to this entry, until
// the connection ends.
func (e *Entry) acceptPeer(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != wire.Path {
		http.NotFound(w, r)
		return
	}
	conn, err := wire.Accept(w, r, e.creds, e.mux.Handle)
	if err != nil {
		e.log.Warn().Err(err).Str("remote", r.RemoteAddr).Msg("connection from peer refused")
		return
	}
	httpserver.Trust(r.Context())
	if !e.peerConns.add(conn) {
		conn.Close()
		return
	}
	<-conn.Done()
	e.peerConns.remove(conn)
}
