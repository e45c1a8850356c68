package backendsim

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const announceInterval = time.Second

// ErrAnnounceRefused is returned when an entry answers an announcement with a status
// other than 200 OK.
var ErrAnnounceRefused = errors.New("backendsim: announcement refused")

// announceLoop announces the server every announceInterval until ctx is cancelled. It
// sends nothing while the freeze fault is set.
func (s *Server) announceLoop(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		frozen := s.faults.Freeze
		s.mu.Unlock()
		if !frozen {
			s.announce()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// announce sends one announcement. It tries the entries in turn, beginning with a
// different one each time, until one accepts it.
func (s *Server) announce() {
	info := s.nextAnnouncement()
	body, err := json.Marshal(info)
	if err != nil {
		return
	}
	for i := range s.cfg.Entries {
		addr := s.cfg.Entries[(int(info.Sequence)+i)%len(s.cfg.Entries)]
		if s.send(addr, body) == nil {
			return
		}
	}
}

func (s *Server) nextAnnouncement() wire.BackendInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return wire.BackendInfo{
		Instance:    s.cfg.Instance,
		Incarnation: s.incarnation,
		Service:     s.cfg.Service,
		Address:     s.listener.Addr().String(),
		Slots:       s.cfg.Slots,
		Connections: s.cfg.Connections,
		Leaving:     s.leaving,
		Sequence:    s.sequence,
	}
}

func (s *Server) send(addr string, body []byte) error {
	resp, err := s.client.Post("http://"+addr+"/v1/announce/backend", "application/json", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "backendsim: announce")
	}
	defer resp.Body.Close()
	// The connection is reused only if the response body was read to the end.
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrAnnounceRefused, "status %d, verdict %q", resp.StatusCode, resp.Header.Get(api.HeaderVerdict))
	}
	return nil
}
