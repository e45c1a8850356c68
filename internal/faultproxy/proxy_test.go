package faultproxy

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echoServer starts a TCP server that sends back what it receives, and returns its address.
func echoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	return l.Addr().String()
}

// Guards against a cut that lets bytes through, or that drops bytes that TCP would
// deliver by retransmission afterwards.
func TestCutHoldsBytesUntilItEnds(t *testing.T) {
	target := echoServer(t)
	p, err := New(Config{Zones: map[string]string{"all": "127.0.0.0/8"}})
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go p.Serve(l, target)

	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, p.SetRules([]Rule{{From: "all", To: "all", Mode: ModeCut}}))
	_, err = conn.Write([]byte("held"))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	buf := make([]byte, 4)
	_, err = io.ReadFull(conn, buf)
	require.Error(t, err)

	require.NoError(t, p.SetRules(nil))
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = io.ReadFull(conn, buf)
	require.NoError(t, err)
	require.Equal(t, "held", string(buf))
}

// Guards against rules with a misspelt mode or zone that silently have no effect.
func TestUnknownModeAndZoneAreRejected(t *testing.T) {
	p, err := New(Config{Zones: map[string]string{"dc1": "127.0.1.0/24"}})
	require.NoError(t, err)
	require.ErrorIs(t, p.SetRules([]Rule{{Mode: "slow"}}), ErrBadRule)
	require.ErrorIs(t, p.SetRules([]Rule{{From: "dc9", Mode: ModeCut}}), ErrBadRule)
}
