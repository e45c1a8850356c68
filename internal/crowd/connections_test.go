package crowd_test

import (
	"strings"
	"testing"

	"github.com/samphirefork/samphirefork/internal/crowd"
)

// Guards against clients that take all descriptors, or memory by their heads, at each listener.
func TestConnections(t *testing.T) {
	long := []byte("GET /readyz HTTP/1.1\r\nHost: a\r\nX-A: " + strings.Repeat("x", headBytes))
	for name, c := range map[string]crowd.Crowd{
		"idle":        {Clients: idle, Message: func(int) []byte { return nil }},
		"half a head": {Clients: idle, Message: func(int) []byte { return long }},
		"kept open":   {Clients: idle, Message: func(int) []byte { return []byte("GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n") }},
	} {
		for _, listener := range []string{"callers", "peers of the entry", "peers of the store"} {
			t.Run(name+", "+listener, func(t *testing.T) {
				r := start(t)
				c.Address = map[string]string{"callers": r.entry.Address, "peers of the entry": r.entry.Peer, "peers of the store": r.store.Peer}[listener]
				r.play(c)
			})
		}
	}
}
