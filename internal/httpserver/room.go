package httpserver

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrBusy means that the body of a request was not read, or not to its end, since the process has no
// memory for it. The request was not handled; nothing is known about earlier attempts at it.
var ErrBusy = errors.New("httpserver: no memory for the body of the request")

const (
	// stallTimeout is the time without progress after which a body gives way to others that wait for
	// memory, and progressBytes what it has to receive in that time.
	stallTimeout  = 100 * time.Millisecond
	progressBytes = 8 << 10
	sweepInterval = 20 * time.Millisecond
)

// room is memory that is shared out to request bodies. Each gets all that it needs at once, or waits, so
// that every body that has begun can be read to its end. The smallest goes first. While others wait, a
// body without progress is evicted.
//
// Load pattern: hundreds of clients send large bodies at once, and stop before their ends.
type room struct {
	size int64

	mu   sync.Mutex
	used int64
	// waiting is sorted by size.
	waiting []*claim
	holders map[*claim]struct{}
	// sweeping is true while a sweep is due.
	sweeping bool
}

// claim is the memory of one body. The mutex of its room guards it.
type claim struct {
	bytes   int64
	granted chan struct{}
	// evict ends the reading of the body. It is nil once the body has been read.
	evict    func()
	evicted  bool
	received int64
	// progress is the last time at which another progressBytes had been received.
	progress time.Time
}

func newRoom(size int64) *room { return &room{size: size, holders: map[*claim]struct{}{}} }

// take returns a claim for the bytes, or for the whole room if it is smaller. It waits until there is
// room, at most for the given time, and then returns ErrBusy. evict is called if the body is to be given
// up; it must not block.
func (r *room) take(ctx context.Context, bytes int64, wait time.Duration, evict func()) (*claim, error) {
	c := &claim{bytes: min(bytes, r.size), granted: make(chan struct{}), evict: evict}
	r.mu.Lock()
	at, _ := slices.BinarySearchFunc(r.waiting, c.bytes+1, func(w *claim, bytes int64) int { return cmp.Compare(w.bytes, bytes) })
	r.waiting = slices.Insert(r.waiting, at, c)
	r.grantWaiting()
	r.sweep()
	r.mu.Unlock()
	select {
	case <-c.granted:
		return c, nil
	default:
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-c.granted:
		return c, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	r.release(c)
	return nil, ErrBusy
}

// release gives back a claim, also one that waits. A second call has no effect.
func (r *room) release(c *claim) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at := slices.Index(r.waiting, c); at >= 0 {
		r.waiting = slices.Delete(r.waiting, at, at+1)
	}
	if _, ok := r.holders[c]; ok {
		delete(r.holders, c)
		r.used -= c.bytes
	}
	r.grantWaiting()
}

func (r *room) grantWaiting() {
	for len(r.waiting) > 0 && r.used+r.waiting[0].bytes <= r.size {
		c := r.waiting[0]
		r.waiting = r.waiting[1:]
		r.used += c.bytes
		r.holders[c] = struct{}{}
		c.progress = time.Now()
		close(c.granted)
	}
}

// receive records that n bytes of the body have arrived.
func (r *room) receive(c *claim, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := c.received / progressBytes
	c.received += int64(n)
	if c.received/progressBytes > before {
		c.progress = time.Now()
	}
}

// finish records that the body has been read, and reports whether it was evicted before. The claim is
// held until release.
func (r *room) finish(c *claim) (evicted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.evict = nil
	return c.evicted
}

// sweep evicts as many stalled bodies as the waiting ones need, longest stalled first, and comes back
// while any wait.
func (r *room) sweep() {
	if r.sweeping || len(r.waiting) == 0 {
		return
	}
	r.sweeping = true
	r.evictStalled()
	time.AfterFunc(sweepInterval, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.sweeping = false
		r.sweep()
	})
}

func (r *room) evictStalled() {
	needed := r.used - r.size
	for _, c := range r.waiting {
		needed += c.bytes
	}
	var stalled []*claim
	for c := range r.holders {
		switch {
		case c.evicted:
			needed -= c.bytes
		case c.evict != nil && time.Since(c.progress) > stallTimeout:
			stalled = append(stalled, c)
		}
	}
	slices.SortFunc(stalled, func(a, b *claim) int { return a.progress.Compare(b.progress) })
	for _, c := range stalled {
		if needed <= 0 {
			return
		}
		c.evicted = true
		c.evict()
		needed -= c.bytes
	}
}

// inUse returns the bytes that are held.
func (r *room) inUse() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.used
}
