// Package faultproxy forwards TCP connections between the processes of a test
// fleet and injects network faults between zones: a cut in one or both
// directions, and delay.
//
// A zone is a set of source addresses, so one proxy in front of a process tells
// its peers apart. Bytes held back by a cut are delivered after it ends, as TCP
// would do by retransmission; a reset closes the connections instead.
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
	bufferBytes  = 64 << 10
	pollInterval = 5 * time.Millisecond
	maxDelayed   = 256
)

// Link forwards connections from Listen to Target.
type Link struct {
	Listen string `json:"listen"`
	Target string `json:"target"`
}

// Mode is what a rule does to bytes of its direction.
type Mode string

// Modes of a rule.
const (
	ModeCut   Mode = "cut"
	ModeReset Mode = "reset"
	ModeDelay Mode = "delay"
)

// Rule is a fault on bytes from zone From to zone To. An empty zone matches any.
type Rule struct {
	From    string `json:"from"`
	To      string `json:"to"`
	Mode    Mode   `json:"mode"`
	DelayUS int64  `json:"delay_us,omitempty"`
}

// Config lists the links and the zones by address prefix.
type Config struct {
	Control string            `json:"control"`
	Links   []Link            `json:"links"`
	Zones   map[string]string `json:"zones"`
	Rules   []Rule            `json:"rules,omitempty"`
}

// ErrBadRule is returned for a rule with an unknown mode or zone.
var ErrBadRule = errors.New("faultproxy: bad rule")

// Proxy holds the present rules.
type Proxy struct {
	zones map[string]netip.Prefix

	mu    sync.RWMutex
	rules []Rule
}

// New checks the configuration and returns a proxy without open links.
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

// SetRules replaces all rules.
func (p *Proxy) SetRules(rules []Rule) error {
	for _, r := range rules {
		if r.Mode != ModeCut && r.Mode != ModeReset && r.Mode != ModeDelay {
			return errors.Wrapf(ErrBadRule, "mode %q", r.Mode)
		}
		if !p.known(r.From) || !p.known(r.To) {
			return errors.Wrapf(ErrBadRule, "zones %q, %q", r.From, r.To)
		}
	}
	p.mu.Lock()
	p.rules = append([]Rule(nil), rules...)
	p.mu.Unlock()
	return nil
}

func (p *Proxy) known(zone string) bool {
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

// effect is the sum of the rules for one direction.
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

// Serve forwards the connections of a listener to target until the listener closes.
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
	go p.pump(server, client, from, to, done)
	go p.pump(client, server, to, from, done)
	<-done
}

// chunk is a run of bytes that leaves at a given time.
type chunk struct {
	data []byte
	due  time.Time
}

// pump copies bytes of one direction. Reading and writing are apart, so that a
// delay adds latency without lowering the throughput.
func (p *Proxy) pump(dst io.Writer, src net.Conn, from, to string, done chan<- struct{}) {
	chunks := make(chan chunk, maxDelayed)
	go p.write(dst, chunks, from, to, done)
	defer close(chunks)
	for {
		buf := make([]byte, bufferBytes)
		n, err := src.Read(buf)
		if n > 0 {
			chunks <- chunk{data: buf[:n], due: time.Now().Add(p.effect(from, to).delay)}
		}
		if err != nil {
			return
		}
	}
}

func (p *Proxy) write(dst io.Writer, chunks <-chan chunk, from, to string, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	failed := false
	for c := range chunks {
		if failed {
			continue
		}
		time.Sleep(time.Until(c.due))
		if !p.waitOpen(from, to) {
			failed = true
			done <- struct{}{}
			continue
		}
		if _, err := dst.Write(c.data); err != nil {
			failed = true
		}
	}
}

// waitOpen blocks while the direction is cut. It returns false on a reset.
func (p *Proxy) waitOpen(from, to string) bool {
	for {
		e := p.effect(from, to)
		if e.reset {
			return false
		}
		if !e.cut {
			return true
		}
		time.Sleep(pollInterval)
	}
}
