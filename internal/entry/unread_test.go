package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/api"
)

// cutShort sends a request without the last byte of its body and returns the answer.
func (te *testEntry) cutShort(t *testing.T, path string, headers ...string) (status int, verdict string) {
	t.Helper()
	address := strings.TrimPrefix(te.url, "http://")
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a\r\n%s: %s\r\n%s\r\nContent-Length: 3\r\n\r\n{}", path, api.HeaderKey, testKey, strings.Join(headers, "\r\n"))
	require.NoError(t, err)
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(2*bodyTimeout)))
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, answer.Header.Get(api.HeaderVerdict)
}

// Guards against not_run for a request whose body did not arrive and of which an earlier attempt may have
// run: only its first attempt has certainly not.
func TestBodyCutShortLeavesTheOutcomeOpen(t *testing.T) {
	te := startEntry(t, newFakeStore(t), "e1", "dc1")
	for _, path := range []string{"/v1/call/plan", "/v1/queues/nightly/jobs"} {
		first, again := api.HeaderRequestID+": dc1.a"+path[4:5], api.HeaderRequestID+": dc1.b"+path[4:5]
		status, verdict := te.cutShort(t, path, first, api.HeaderAttempt+": 1")
		require.Equal(t, http.StatusRequestTimeout, status)
		require.Equal(t, string(api.NotRun), verdict)
		status, verdict = te.cutShort(t, path, again)
		require.Equal(t, http.StatusGatewayTimeout, status)
		require.Equal(t, string(api.MayHaveRun), verdict)
	}
}
