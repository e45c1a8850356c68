package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/routing"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	maxRequestBytes = 1 << 20
	// bodyTimeout is the time within which a request body of up to maxRequestBytes
	// must arrive. It equals the longest time limit of a call.
	bodyTimeout = 10 * time.Second
	// maxAnswerBytes leaves room in a peer frame for the other fields of the
	// answer.
	maxAnswerBytes  = wire.MaxFrameBytes - 64<<10
	idleConnTimeout = 30 * time.Second
	// dialTimeout bounds the set-up of a connection, and with it the time between
	// the check of a key and the dispatch of its call.
	dialTimeout = 500 * time.Millisecond
)

// attemptStatus is what is known after an attempt about whether the call ran.
type attemptStatus int

// Statuses of an attempt: answered completely, certainly not run, or unknown.
const (
	attemptAnswered attemptStatus = iota
	attemptNotRun
	attemptUnknown
)

// attemptResult is the result of one attempt to run a call.
type attemptResult struct {
	status attemptStatus
	// outcome is reported to routing, which derives the health of the backend
	// server from it.
	outcome routing.Outcome
	answer  *wire.CallAnswer
	// lateResult is set when the attempt timed out and continues in the background.
	// It delivers the final result.
	lateResult <-chan attemptResult
	// mayStillRun is true when the call may still be running although the attempt
	// has ended.
	mayStillRun bool
}

// backendClient sends calls to backend servers. It keeps one transport for each
// address, which bounds the connections to each backend server.
type backendClient struct {
	mu         sync.Mutex
	transports map[string]*pooledTransport
}

// pooledTransport is the transport of one address.
type pooledTransport struct {
	maxConns  int
	lastUsed  time.Time
	transport *http.Transport
}

func newBackendClient() *backendClient {
	return &backendClient{transports: map[string]*pooledTransport{}}
}

// transport returns the transport of an address, limited to maxConns connections. A
// changed limit replaces the transport.
func (c *backendClient) transport(now time.Time, addr string, maxConns int) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.transports[addr]
	if ok && t.maxConns == maxConns {
		t.lastUsed = now
		return t.transport
	}
	if ok {
		t.transport.CloseIdleConnections()
	}
	fresh := &pooledTransport{maxConns: maxConns, lastUsed: now, transport: newTransport(maxConns)}
	c.transports[addr] = fresh
	return fresh.transport
}

// closeIdle closes and removes the transports that were not used for twice
// idleConnTimeout.
func (c *backendClient) closeIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, t := range c.transports {
		if now.Sub(t.lastUsed) > 2*idleConnTimeout {
			t.transport.CloseIdleConnections()
			delete(c.transports, addr)
		}
	}
}

func (c *backendClient) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.transports {
		t.transport.CloseIdleConnections()
	}
}

func newTransport(maxConns int) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     maxConns,
		MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		ForceAttemptHTTP2:   false,
	}
}

// call makes one attempt at a backend server and evaluates the response. The status
// is attemptNotRun only if the request was not sent or the backend server states
// that it ran nothing.
func (c *backendClient) call(ctx context.Context, now time.Time, slot routing.Slot, req *callRequest) attemptResult {
	var connected bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	remaining := max(req.deadline.Sub(now), time.Millisecond)
	httpReq, err := newBackendRequest(httptrace.WithClientTrace(ctx, trace), slot.Address, req, remaining)
	if err != nil {
		return notRunResult(routing.Failed, api.CodeBackendFailed, err.Error())
	}
	resp, err := c.transport(now, slot.Address, max(slot.Connections, 1)).RoundTrip(httpReq)
	if err != nil && !connected {
		return notRunResult(routing.Failed, api.CodeBackendFailed, "no connection to the backend server")
	}
	if err != nil {
		result := unknownResult(ctx, api.CodeBackendFailed, "the connection to the backend server broke")
		result.mayStillRun = true
		return result
	}
	defer resp.Body.Close()
	return readResponse(ctx, resp, req)
}

func newBackendRequest(ctx context.Context, addr string, req *callRequest, remaining time.Duration) (*http.Request, error) {
	url := "http://" + addr + "/call/" + req.service
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(req.body))
	if err != nil {
		return nil, errors.Wrap(err, "entry: backend request")
	}
	httpReq.Header.Set(api.HeaderRequestID, req.id)
	httpReq.Header.Set("User-Agent", "samphire-entry/"+req.entry)
	httpReq.Header.Set(api.HeaderContentType, req.contentType)
	if req.team != "" {
		httpReq.Header.Set(api.HeaderTeam, req.team)
	}
	httpReq.Header.Set(api.HeaderDeadlineMS, strconv.FormatInt(remaining.Milliseconds(), 10))
	return httpReq, nil
}

// readResponse reads a response and accepts it only if it is complete and carries
// the identifier of the request.
func readResponse(ctx context.Context, resp *http.Response, req *callRequest) attemptResult {
	if resp.Header.Get(api.HeaderRequestID) != req.id {
		return unknownResult(ctx, api.CodeAnswerMismatch, "the backend server answered another request")
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(api.HeaderNotRun) == "true" {
		return notRunResult(routing.Unused, api.CodeNoBackend, "the backend server took no more work")
	}
	if resp.ContentLength < 0 {
		return unknownResult(ctx, api.CodeAnswerTruncated, "the answer states no length")
	}
	if resp.ContentLength > maxAnswerBytes {
		return unknownResult(ctx, api.CodeTooLarge, "the answer exceeds the size limit")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, resp.ContentLength+1))
	if err != nil || int64(len(body)) != resp.ContentLength {
		return unknownResult(ctx, api.CodeAnswerTruncated, "the answer was cut off")
	}
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return unknownResult(ctx, api.CodeBackendFailed, "the backend server answered with status "+strconv.Itoa(resp.StatusCode))
	}
	answer := &wire.CallAnswer{
		Verdict:     string(api.Done),
		Status:      http.StatusOK,
		ContentType: strings.ToValidUTF8(resp.Header.Get(api.HeaderContentType), string(utf8.RuneError)),
		Body:        body,
	}
	return attemptResult{status: attemptAnswered, outcome: routing.Succeeded, answer: answer}
}

// notRunResult is the result of an attempt that certainly did not run the call.
func notRunResult(outcome routing.Outcome, code api.Code, message string) attemptResult {
	refusal := api.RetryLater(code, message, defaultRetryAfter)
	return attemptResult{status: attemptNotRun, outcome: outcome, answer: refusalToAnswer(refusal)}
}

// unknownResult is the result of an attempt that may have run the call. If ctx has
// ended, the time limit is given as the cause instead of code and message.
func unknownResult(ctx context.Context, code api.Code, message string) attemptResult {
	refusal := api.UnknownOutcome(code, message)
	refusal.Status = http.StatusBadGateway
	if ctx.Err() != nil {
		refusal = api.UnknownOutcome(api.CodeTimeout, "no answer within the time limit")
	}
	return attemptResult{status: attemptUnknown, outcome: routing.Failed, answer: refusalToAnswer(refusal)}
}
