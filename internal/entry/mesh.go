package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	// peerTerm is the time without a heartbeat after which an entry is not live.
	peerTerm = 2 * time.Second
	// namedTerm is the time for which the leader's word makes an entry live.
	namedTerm   = 2 * time.Second
	sendTimeout = 400 * time.Millisecond
	// forgetPeerAfter bounds the heartbeats to an address that is in no settings
	// and no longer answers.
	forgetPeerAfter = 10 * time.Minute
)

// peerEntry is what this entry knows of another one.
type peerEntry struct {
	info    wire.EntryInfo
	heardAt time.Time
	// namedAt is when the leader last listed the entry as live.
	namedAt time.Time
	sending bool
}

// mesh keeps the entries in touch with each other without the leader, so that a
// data centre that is cut off goes on.
type mesh struct {
	entry *Entry
	mu    sync.Mutex
	// peers are keyed by peer address.
	peers map[string]*peerEntry
	wg    sync.WaitGroup
}

func newMesh(e *Entry) *mesh {
	m := &mesh{entry: e, peers: map[string]*peerEntry{}}
	for _, addr := range e.set.Peers {
		m.peer(addr)
	}
	return m
}

// peer returns the record of an address; the lock is held or not yet needed.
func (m *mesh) peer(addr string) *peerEntry {
	p, ok := m.peers[addr]
	if !ok {
		p = &peerEntry{info: wire.EntryInfo{PeerAddress: addr}}
		m.peers[addr] = p
	}
	return p
}

// named takes the leader's list of live entries.
func (m *mesh) named(entries []wire.EntryInfo) {
	m.mu.Lock()
	now := m.entry.clock()
	for _, info := range entries {
		if info.Instance == m.entry.set.Instance || info.PeerAddress == "" {
			continue
		}
		p := m.peer(info.PeerAddress)
		p.info = info
		p.namedAt = now
	}
	m.mu.Unlock()
	m.refresh()
}

// refresh passes the live entries of this data centre to the routing.
func (m *mesh) refresh() {
	m.mu.Lock()
	now := m.entry.clock()
	var live []string
	for _, p := range m.peers {
		if p.info.DataCentre != m.entry.set.DataCentre || p.info.Instance == "" {
			continue
		}
		if now.Sub(p.heardAt) < peerTerm || now.Sub(p.namedAt) < namedTerm {
			live = append(live, p.info.Instance)
		}
	}
	m.mu.Unlock()
	m.entry.sched.setEntries(live)
}

// serveRegistration takes the heartbeat of another entry.
func (m *mesh) serveRegistration(_ context.Context, req wire.Request) (any, error) {
	var msg wire.Registration
	if err := req.Decode(&msg); err != nil {
		return nil, err
	}
	if msg.Entry.PeerAddress == "" || msg.Entry.Instance == m.entry.set.Instance {
		return nil, &wire.ErrorBody{Code: wire.CodeBadMessage, Message: "registration of no other entry"}
	}
	m.mu.Lock()
	p := m.peer(msg.Entry.PeerAddress)
	p.info = msg.Entry
	p.heardAt = m.entry.clock()
	m.mu.Unlock()
	if msg.Entry.DataCentre == m.entry.set.DataCentre {
		m.refresh()
		m.entry.sched.announce(msg.Backends)
		return nil, nil
	}
	m.entry.sched.heardSummary(msg.Entry.PeerAddress, msg.FreeSlots, msg.Draining)
	return nil, nil
}

// loop sends a heartbeat to every known entry each interval, until ctx ends.
func (m *mesh) loop(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	defer m.wg.Wait()
	for {
		m.beat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *mesh) beat(ctx context.Context) {
	m.refresh()
	backends, free := m.entry.sched.summary()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.entry.clock()
	for addr, p := range m.peers {
		if m.lapsed(now, addr, p) {
			delete(m.peers, addr)
			continue
		}
		msg := wire.Registration{Entry: m.self(), Draining: m.entry.stopping.Load()}
		if p.info.DataCentre == "" || p.info.DataCentre == m.entry.set.DataCentre {
			msg.Backends = backends
		}
		if p.info.DataCentre != m.entry.set.DataCentre && !msg.Draining {
			msg.FreeSlots = free
		}
		m.send(ctx, addr, p, msg)
	}
}

func (m *mesh) lapsed(now time.Time, addr string, p *peerEntry) bool {
	heard := p.heardAt
	if p.namedAt.After(heard) {
		heard = p.namedAt
	}
	return now.Sub(heard) > forgetPeerAfter && !slices.Contains(m.entry.set.Peers, addr)
}

// pass tells the entries of this data centre at once about new registrations.
func (m *mesh) pass(ctx context.Context, news []wire.BackendInfo) {
	if len(news) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	msg := wire.Registration{Entry: m.self(), Backends: news, Draining: m.entry.stopping.Load()}
	for addr, p := range m.peers {
		if p.info.DataCentre == m.entry.set.DataCentre {
			m.send(ctx, addr, p, msg)
		}
	}
}

func (m *mesh) self() wire.EntryInfo {
	set := m.entry.set
	return wire.EntryInfo{Instance: set.Instance, DataCentre: set.DataCentre, PeerAddress: m.entry.peerAddress}
}

// send sends a message in the background, unless the last one is still on its
// way; a peer that does not answer must not hold up the others. The next
// heartbeat makes up for a message that was left out.
func (m *mesh) send(ctx context.Context, addr string, p *peerEntry, msg wire.Registration) {
	if p.sending || ctx.Err() != nil {
		return
	}
	p.sending = true
	m.wg.Add(1)
	go func() {
		defer m.wg.Done()
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		if conn, err := m.entry.pool.Get(ctx, addr); err == nil {
			_ = conn.Send(ctx, wire.TypeRegistration, msg)
		}
		m.mu.Lock()
		p.sending = false
		m.mu.Unlock()
	}()
}
