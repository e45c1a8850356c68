// Package faultproxy forwards TCP connections between the processes of a test
// fleet and injects network faults between zones: partitions in one or both
// directions, connection resets and latency.
//
// A zone is an address prefix. The zone of a client is found by its source address and
// that of a server by the target address of the link, so that one proxy in front of a
// process can treat its peers differently. Bytes held back
// by a cut are delivered after it ends, as TCP would do by retransmission; a reset
// closes the connections instead.
package faultproxy

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	readBufferBytes = 64 << 10
	cutPollInterval = 5 * time.Millisecond
	maxQueuedChunks = 256
)

// Link forwards connections from the address Listen to the address Target, both host:port.
type Link struct {
	Listen string `json:"listen"`
	Target string `json:"target"`
}

// Mode is the kind of fault that a rule injects.
type Mode string

// Modes of a rule.
const (
	// ModeCut holds bytes back until the rule is removed.
	ModeCut Mode = "cut"
	// ModeReset closes connections: new ones from zone From to zone To at once, open
	// ones when the next bytes are to be sent.
	ModeReset Mode = "reset"
	// ModeDelay adds Rule.DelayUS to the latency.
	ModeDelay Mode = "delay"
)

// Rule injects a fault into bytes sent from zone From to zone To. An empty zone name
// matches any address. DelayUS is in microseconds and is used by ModeDelay only; the
// delays of several matching rules add up.
type Rule struct {
	From    string `json:"from"`
	To      string `json:"to"`
	Mode    Mode   `json:"mode"`
	DelayUS int64  `json:"delay_us,omitempty"`
}

// Config is the configuration of a fault proxy. Control is the address of the control
// interface, which the proxy itself does not open. Zones maps zone names to address
// prefixes in CIDR notation. Rules are those at the start.
type Config struct {
	Control string            `json:"control"`
	Links   []Link            `json:"links"`
	Zones   map[string]string `json:"zones"`
	Rules   []Rule            `json:"rules,omitempty"`
}

// ErrBadRule is returned, wrapped, for a rule with an unknown mode or zone.
var ErrBadRule = errors.New("faultproxy: bad rule")

// Proxy forwards connections and applies the current rules to them. Its methods may be
// called concurrently.
type Proxy struct {
	zones map[string]netip.Prefix

	mu    sync.RWMutex
	rules []Rule
}

// New returns a proxy with the zones and rules of the configuration. It opens no links;
// Listen does. It returns an error for an invalid zone prefix or rule.
func New(cfg Config) (*Proxy, error) {
	p := &Proxy{zones: map[string]netip.Prefix{}}
	for name, prefix := range cfg.Zones {
		parsed, err := netip.ParsePrefix(prefix)
		if err != nil {
			return nil, errors.Wrapf(err, "faultproxy: zone %s", name)
		}
		p.zones[name] = parsed
	}
	if err := p.SetRules(cfg.Rules); err != nil {
		return nil, err
	}
	return p, nil
}

// SetRules replaces all rules, also for open connections. If a rule is invalid, it
// returns ErrBadRule and keeps the previous rules.
func (p *Proxy) SetRules(rules []Rule) error {
	for _, r := range rules {
		if r.Mode != ModeCut && r.Mode != ModeReset && r.Mode != ModeDelay {
			return errors.Wrapf(ErrBadRule, "mode %q", r.Mode)
		}
		if !p.isKnownZone(r.From) || !p.isKnownZone(r.To) {
			return errors.Wrapf(ErrBadRule, "zones %q, %q", r.From, r.To)
		}
	}
	p.mu.Lock()
	p.rules = append([]Rule(nil), rules...)
	p.mu.Unlock()
	return nil
}

func (p *Proxy) isKnownZone(zone string) bool {
	_, ok := p.zones[zone]
	return zone == "" || ok
}

func (p *Proxy) zoneOf(addr string) string {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return ""
	}
	for name, prefix := range p.zones {
		if prefix.Contains(ap.Addr()) {
			return name
		}
	}
	return ""
}

// effect is the combined effect of all rules that match one direction of a connection.
type effect struct {
	cut, reset bool
	delay      time.Duration
}

func (p *Proxy) effect(from, to string) effect {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var e effect
	for _, r := range p.rules {
		if (r.From != "" && r.From != from) || (r.To != "" && r.To != to) {
			continue
		}
		e.cut = e.cut || r.Mode == ModeCut
		e.reset = e.reset || r.Mode == ModeReset
		if r.Mode == ModeDelay {
			e.delay += time.Duration(r.DelayUS) * time.Microsecond
		}
	}
	return e
}

// Serve accepts connections on l and forwards them to the address target. It returns
// when l is closed or fails; connections accepted before stay open.
func (p *Proxy) Serve(l net.Listener, target string) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		go p.forward(client, target)
	}
}

func (p *Proxy) forward(client net.Conn, target string) {
	defer func() { _ = client.Close() }()
	from := p.zoneOf(client.RemoteAddr().String())
	to := p.zoneOf(target)
	if p.effect(from, to).reset {
		return
	}
	server, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	done := make(chan struct{}, 4)
	go p.relay(server, client, from, to, done)
	go p.relay(client, server, to, from, done)
	<-done
}

// chunk holds bytes to be sent no earlier than sendAt.
type chunk struct {
	data   []byte
	sendAt time.Time
}

// relay copies the bytes of one direction from src to dst. Reading and writing run in
// separate goroutines, so that a delay adds latency without reducing throughput.
func (p *Proxy) relay(dst io.Writer, src net.Conn, from, to string, done chan<- struct{}) {
	chunks := make(chan chunk, maxQueuedChunks)
	go p.writeChunks(dst, chunks, from, to, done)
	defer close(chunks)
	for {
		buf := make([]byte, readBufferBytes)
		n, err := src.Read(buf)
		if n > 0 {
			chunks <- chunk{data: buf[:n], sendAt: time.Now().Add(p.effect(from, to).delay)}
		}
		if err != nil {
			return
		}
	}
}

func (p *Proxy) writeChunks(dst io.Writer, chunks <-chan chunk, from, to string, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	failed := false
	for c := range chunks {
		if failed {
			continue
		}
		time.Sleep(time.Until(c.sendAt))
		if !p.waitUntilNotCut(from, to) {
			failed = true
			done <- struct{}{}
			continue
		}
		if _, err := dst.Write(c.data); err != nil {
			failed = true
		}
	}
}

// waitUntilNotCut blocks while the direction is cut. It returns false if a rule resets it.
func (p *Proxy) waitUntilNotCut(from, to string) bool {
	for {
		e := p.effect(from, to)
		if e.reset {
			return false
		}
		if !e.cut {
			return true
		}
		time.Sleep(cutPollInterval)
	}
}
