package wire

import (
	"context"
	"sync"
	"time"
)

// redialDelay is the time after a failed dial during which no further dial to the
// address is made.
const redialDelay = 100 * time.Millisecond

// Pool keeps one connection to each peer address, and dials again after a connection
// has ended. It is safe for concurrent use.
type Pool struct {
	creds   Credentials
	handler Handler

	mu    sync.Mutex
	peers map[string]*peer
}

// peer is the connection to one address. lock, a channel of capacity one, guards the
// other fields, so that a caller can stop waiting for another caller's dial when its
// context ends.
type peer struct {
	lock     chan struct{}
	conn     *Conn
	failedAt time.Time
	err      error
}

// NewPool returns a pool whose connections pass messages from peers to handler.
func NewPool(creds Credentials, handler Handler) *Pool {
	return &Pool{creds: creds, handler: handler, peers: map[string]*peer{}}
}

// Get returns an open connection to addr, and dials if there is none. For 100 ms after
// a failed dial it returns the same error without dialling, so that callers do not
// queue up for an address that does not answer.
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

// Call sends a request to addr and decodes its reply into resp, as Conn.Call does. If
// no connection can be established, it returns ErrNotSent.
func (p *Pool) Call(ctx context.Context, addr string, t Type, req, resp any) error {
	conn, err := p.Get(ctx, addr)
	if err != nil {
		return ErrNotSent
	}
	return conn.Call(ctx, t, req, resp)
}

// Close closes all connections.
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
