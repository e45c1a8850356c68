package wire

import (
	"context"
	"sync"
	"time"
)

// redialDelay is the shortest time between two dials to an address that failed.
const redialDelay = 100 * time.Millisecond

// Pool keeps one connection to each peer address and dials again when one has ended.
type Pool struct {
	creds   Credentials
	handler Handler

	mu    sync.Mutex
	peers map[string]*peer
}

// peer is guarded by lock, a channel of capacity one, so that a caller whose
// context ends does not wait for another caller's dial.
type peer struct {
	lock     chan struct{}
	conn     *Conn
	failedAt time.Time
	err      error
}

// NewPool returns a pool whose connections answer incoming requests with handler.
func NewPool(creds Credentials, handler Handler) *Pool {
	return &Pool{creds: creds, handler: handler, peers: map[string]*peer{}}
}

// Get returns a live connection to addr, dialling when there is none. A failed
// dial is remembered for redialDelay, so that callers do not queue up behind
// an address that does not answer.
func (p *Pool) Get(ctx context.Context, addr string) (*Conn, error) {
	pr := p.peer(addr)
	select {
	case pr.lock <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-pr.lock }()
	if pr.conn != nil && !pr.conn.ended() {
		return pr.conn, nil
	}
	if time.Since(pr.failedAt) < redialDelay {
		return nil, pr.err
	}
	conn, err := Dial(ctx, addr, p.creds, p.handler)
	if err != nil {
		pr.failedAt = time.Now()
		pr.err = err
		return nil, err
	}
	pr.conn = conn
	return conn, nil
}

// Call sends a request to addr; a failed dial is ErrNotSent.
func (p *Pool) Call(ctx context.Context, addr string, t Type, req, resp any) error {
	conn, err := p.Get(ctx, addr)
	if err != nil {
		return ErrNotSent
	}
	return conn.Call(ctx, t, req, resp)
}

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pr := range p.peers {
		pr.lock <- struct{}{}
		if pr.conn != nil {
			pr.conn.Close()
		}
		<-pr.lock
	}
}

func (p *Pool) peer(addr string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr, ok := p.peers[addr]
	if !ok {
		pr = &peer{lock: make(chan struct{}, 1)}
		p.peers[addr] = pr
	}
	return pr
}

func (c *Conn) ended() bool {
	select {
	case <-c.done:
		return true
	case <-c.ctx.Done():
		return true
	default:
		return false
	}
}
