package httpbody

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	limit   = 8
	timeout = 200 * time.Millisecond
)

func serve(t *testing.T, handlingTime time.Duration) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := Read(w, r, limit, timeout)
		if err == nil {
			select {
			case <-r.Context().Done():
				err = r.Context().Err()
			case <-time.After(handlingTime):
			}
		}
		_, _ = fmt.Fprintf(w, "%s %v", data, err) // the test reads the answer
	}))
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
