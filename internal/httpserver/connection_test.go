package httpserver

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// Guards against a new client that finds no place beside idle ones, against the end of a connection whose
// request is handled, and against connections that are not given back.
func TestIdleConnectionsGiveWay(t *testing.T) {
	registry := metrics.NewRegistry()
	guard := NewGuard(Limits{MemoryBytes: 1 << 30, Descriptors: minReservedDescriptors + minConnections}, registry, zerolog.Nop(), LaneCallers)
	handling, finish := make(chan struct{}), make(chan struct{})
	s := httptest.NewUnstartedServer(nil)
	s.Listener = guard.Limit(s.Listener)
	s.Config = guard.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(handling)
			<-finish
		}
		_, _ = fmt.Fprint(w, "done") // the test reads the answer
	}), Options{})
	s.Start()
	defer s.Close()
	slow := make(chan string, 1)
	go func() { slow <- get(t, s.URL+"/slow") }()
	<-handling
	var idle []net.Conn
	for range 2 * minConnections {
		conn, err := net.Dial("tcp", s.Listener.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
		idle = append(idle, conn)
	}
	require.Equal(t, "done", get(t, s.URL))
	require.LessOrEqual(t, guard.connections.count(), minConnections)
	require.NoError(t, idle[0].SetReadDeadline(time.Now().Add(patience)))
	_, err := idle[0].Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the longest idle connection was closed")
	close(finish)
	require.Equal(t, "done", <-slow)
	require.Positive(t, metrics.GetOrRegisterCounter("http_connections_evicted_total", registry).Count())
	for _, conn := range idle {
		_ = conn.Close()
	}
	require.Eventually(t, func() bool { return guard.connections.count() == 0 }, patience, time.Millisecond)
}

func get(t *testing.T, url string) string {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(data)
}

// stuckConn is a connection whose peer reads nothing. Its writes end only with their deadline.
type stuckConn struct {
	net.Conn
	deadline time.Time
}

func (c *stuckConn) SetWriteDeadline(at time.Time) error { c.deadline = at; return nil }

func (c *stuckConn) Write(p []byte) (int, error) { return len(p), nil }

// Guards against a client that reads no answers and keeps its connection for good, and against limits on
// the connections between processes of the fleet.
func TestWritesHaveDeadlines(t *testing.T) {
	set := newConnections(1, metrics.NewRegistry())
	stuck := &stuckConn{}
	c := set.add(stuck, &listener{set: set})
	_, err := c.Write([]byte("x"))
	require.NoError(t, err)
	require.WithinDuration(t, time.Now().Add(writeTimeout), stuck.deadline, writeTimeout/2)
	Trust(withConnection(t.Context(), c))
	_, err = c.Write([]byte("x"))
	require.NoError(t, err)
	require.Zero(t, stuck.deadline)
	require.Nil(t, set.add(&stuckConn{}, &listener{set: set}), "a trusted connection does not give way")
}
