package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

const (
	limit   = 8
	timeout = 200 * time.Millisecond
)

func serve(t *testing.T, handlingTime time.Duration) string {
	t.Helper()
	guard := NewGuard(ProcessLimits(), metrics.NewRegistry(), zerolog.Nop(), LaneCallers)
	s := httptest.NewUnstartedServer(nil)
	s.Listener = guard.Limit(s.Listener)
	s.Config = guard.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := Read(r, limit, timeout)
		if err == nil {
			select {
			case <-r.Context().Done():
				err = r.Context().Err()
			case <-time.After(handlingTime):
			}
		}
		_, _ = fmt.Fprintf(w, "%s %v", data, err) // the test reads the answer
	}), Options{})
	s.Start()
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func post(t *testing.T, address, body string) string {
	t.Helper()
	resp, err := http.Post("http://"+address, "", strings.NewReader(body))
	require.NoError(t, err)
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(answer)
}

// Guards against accepting a body above the size limit, and against the body's read
// deadline cancelling a request that is handled for longer than the timeout.
func TestReadWithinLimits(t *testing.T) {
	address := serve(t, 2*timeout)
	require.Equal(t, "12345678 <nil>", post(t, address, "12345678"))
	require.Contains(t, post(t, address, "123456789"), ErrTooLarge.Error())
}

// Guards against a client that sends only a part of its body and holds the connection open.
func TestStalledBodyTimesOut(t *testing.T) {
	conn, err := net.Dial("tcp", serve(t, 0))
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n12")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	answer, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Contains(t, string(answer), ErrIncomplete.Error())
}

// slowly sends a request whose body comes in single bytes, more than stallTimeout apart, and returns the
// answer.
func slowly(t *testing.T, address string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n")
	require.NoError(t, err)
	for range 3 {
		time.Sleep(2 * stallTimeout)
		_, _ = fmt.Fprint(conn, "x") // fails once the server has answered
	}
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(patience)))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	return string(data)
}

// Guards against a slow client that is cut off in calm, and against one that keeps others waiting.
func TestSlowClients(t *testing.T) {
	guard := NewGuard(Limits{MemoryBytes: bodyDivisor * smallDivisor * minClaimBytes, Descriptors: 1000}, metrics.NewRegistry(), zerolog.Nop(), LaneCallers)
	s := httptest.NewUnstartedServer(nil)
	s.Listener = guard.Limit(s.Listener)
	s.Config = guard.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := Read(r, limit, patience)
		_, _ = fmt.Fprintf(w, "%s %v", data, err) // the test reads the answer
	}), Options{})
	s.Start()
	t.Cleanup(s.Close)
	address := strings.TrimPrefix(s.URL, "http://")
	require.Equal(t, "xxx <nil>", slowly(t, address))

	answer := make(chan string)
	go func() { answer <- slowly(t, address) }()
	require.Eventually(t, func() bool { return guard.bodyMemory() > 0 }, patience, time.Millisecond)
	require.Equal(t, "12 <nil>", post(t, address, "12"), "the room has one body only")
	require.Contains(t, <-answer, ErrBusy.Error())
	require.Eventually(t, func() bool { return guard.bodyMemory() == 0 }, patience, time.Millisecond)
}
