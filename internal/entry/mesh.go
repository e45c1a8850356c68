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
	// peerTimeout is the time without a heartbeat after which an entry is not
	// considered live.
	peerTimeout = 2 * time.Second
	// listingTimeout is the time for which an entry is considered live after the
	// leader has listed it.
	listingTimeout = 2 * time.Second
	sendTimeout    = 400 * time.Millisecond
	// peerRetention bounds the time for which heartbeats are sent to an address
	// that does not answer and is not in the settings.
	peerRetention = 10 * time.Minute
)

// peerEntry is what this entry knows about another one.
type peerEntry struct {
	info          wire.EntryInfo
	lastHeartbeat time.Time
	// listedAt is when the leader last listed the entry as live.
	listedAt time.Time
	// sending is true while a message to the entry is being sent.
	sending bool
}

// mesh exchanges heartbeats, registrations and free slots directly between the
// entries, so that a data centre that is partitioned from the leader continues to
// work.
type mesh struct {
	entry *Entry
	mu    sync.Mutex
	// peers are keyed by peer address.
	peers map[string]*peerEntry
	wg    sync.WaitGroup
}

func newMesh(e *Entry) *mesh {
	m := &mesh{entry: e, peers: map[string]*peerEntry{}}
	for _, addr := range e.settings.Peers {
		m.getOrAddPeer(addr)
	}
	return m
}

// getOrAddPeer returns the record of an address, and adds one if there is none. The
// caller holds the lock, except during construction.
func (m *mesh) getOrAddPeer(addr string) *peerEntry {
	p, ok := m.peers[addr]
	if !ok {
		p = &peerEntry{info: wire.EntryInfo{PeerAddress: addr}}
		m.peers[addr] = p
	}
	return p
}

// updateFromLeader applies the leader's list of live entries.
func (m *mesh) updateFromLeader(entries []wire.EntryInfo) {
	m.mu.Lock()
	now := m.entry.clock()
	for _, info := range entries {
		if info.Instance == m.entry.settings.Instance || info.PeerAddress == "" {
			continue
		}
		p := m.getOrAddPeer(info.PeerAddress)
		p.info = info
		p.listedAt = now
	}
	m.mu.Unlock()
	m.updateLiveEntries()
}

// updateLiveEntries determines the live entries of this data centre and passes them
// to the scheduler.
func (m *mesh) updateLiveEntries() {
	m.mu.Lock()
	now := m.entry.clock()
	var live []string
	for _, p := range m.peers {
		if p.info.DataCentre != m.entry.settings.DataCentre || p.info.Instance == "" {
			continue
		}
		if now.Sub(p.lastHeartbeat) < peerTimeout || now.Sub(p.listedAt) < listingTimeout {
			live = append(live, p.info.Instance)
		}
	}
	m.mu.Unlock()
	m.entry.sched.setLiveEntries(live)
}

// handleRegistration processes the heartbeat of another entry. An entry of this
// data centre sends registrations of backend servers, one of another data centre
// its free slots.
func (m *mesh) handleRegistration(_ context.Context, req wire.Request) (any, error) {
	var msg wire.Registration
	if err := req.Decode(&msg); err != nil {
		return nil, err
	}
	if msg.Entry.PeerAddress == "" || msg.Entry.Instance == m.entry.settings.Instance {
		return nil, &wire.ErrorBody{Code: wire.CodeBadMessage, Message: "registration of no other entry"}
	}
	m.mu.Lock()
	p := m.getOrAddPeer(msg.Entry.PeerAddress)
	p.info = msg.Entry
	p.lastHeartbeat = m.entry.clock()
	m.mu.Unlock()
	if msg.Entry.DataCentre == m.entry.settings.DataCentre {
		m.updateLiveEntries()
		m.entry.sched.registerBackends(msg.Backends)
		return nil, nil
	}
	m.entry.sched.updateRemoteCapacity(msg.Entry.PeerAddress, msg.Entry.DataCentre, msg.FreeSlots, msg.Draining)
	return nil, nil
}

// loop sends heartbeats at each heartbeatInterval until ctx ends, and waits for the
// messages that are being sent.
func (m *mesh) loop(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	defer m.wg.Wait()
	for {
		m.sendHeartbeats(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sendHeartbeats removes expired peers and sends a heartbeat to the others. It has
// the registrations of backend servers for an entry of this data centre and the
// free slots for one of another data centre; an entry whose data centre is not
// known yet gets both.
func (m *mesh) sendHeartbeats(ctx context.Context) {
	m.updateLiveEntries()
	backends, free := m.entry.sched.capacitySummary()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.entry.clock()
	for addr, p := range m.peers {
		if m.isExpired(now, addr, p) {
			delete(m.peers, addr)
			continue
		}
		msg := wire.Registration{Entry: m.self(), Draining: m.entry.stopping.Load()}
		if p.info.DataCentre == "" || p.info.DataCentre == m.entry.settings.DataCentre {
			msg.Backends = backends
		}
		if p.info.DataCentre != m.entry.settings.DataCentre && !msg.Draining {
			msg.FreeSlots = free
		}
		m.send(ctx, addr, p, msg)
	}
}

// isExpired reports whether the entry at addr is not in the settings and was
// neither heard from nor listed by the leader for peerRetention.
func (m *mesh) isExpired(now time.Time, addr string, p *peerEntry) bool {
	lastSeen := p.lastHeartbeat
	if p.listedAt.After(lastSeen) {
		lastSeen = p.listedAt
	}
	return now.Sub(lastSeen) > peerRetention && !slices.Contains(m.entry.settings.Peers, addr)
}

// propagate sends registrations to the other entries of this data centre
// immediately instead of with the next heartbeat.
func (m *mesh) propagate(ctx context.Context, backends []wire.BackendInfo) {
	if len(backends) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	msg := wire.Registration{Entry: m.self(), Backends: backends, Draining: m.entry.stopping.Load()}
	for addr, p := range m.peers {
		if p.info.DataCentre == m.entry.settings.DataCentre {
			m.send(ctx, addr, p, msg)
		}
	}
}

// self describes this entry to its peers.
func (m *mesh) self() wire.EntryInfo {
	settings := m.entry.settings
	return wire.EntryInfo{Instance: settings.Instance, DataCentre: settings.DataCentre, PeerAddress: m.entry.peerAddress}
}

// send sends a message in the background, unless the previous one to the peer is
// still being sent: a peer that does not respond must not delay the others. The
// next heartbeat makes up for a message that was skipped.
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
