package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/routing"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	maxRequestBytes = 1 << 20
	// bodyTimeout bounds the arrival of a body: 1 MiB within the longest time of a call.
	bodyTimeout = 10 * time.Second
	// maxAnswerBytes leaves room in a peer frame for the answer's other fields.
	maxAnswerBytes  = wire.MaxFrameBytes - 64<<10
	idleConnTimeout = 30 * time.Second
	// dialTimeout bounds the time between the check of a key and the dispatch.
	dialTimeout = 500 * time.Millisecond
)

// effect is what is known about a call after an attempt.
type effect int

// Effects of an attempt: answered completely, certainly not run, or unknown.
const (
	effectAnswered effect = iota
	effectNotRun
	effectUnknown
)

// attempt is the end of one attempt to run a call.
type attempt struct {
	effect  effect
	outcome routing.Outcome
	answer  *wire.CallAnswer
	// late is not nil when the attempt ran out of time and goes on in the background.
	late <-chan attempt
	// goesOn is true when the call may still run although the attempt has ended.
	goesOn bool
}

// backendClient calls backend servers, with one transport for each address, so
// that the connections to each backend server are bounded.
type backendClient struct {
	mu         sync.Mutex
	transports map[string]*boundTransport
}

type boundTransport struct {
	limit  int
	usedAt time.Time
	http   *http.Transport
}

func newBackendClient() *backendClient {
	return &backendClient{transports: map[string]*boundTransport{}}
}

// transport returns the transport of an address with at most limit connections.
func (c *backendClient) transport(now time.Time, addr string, limit int) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.transports[addr]
	if ok && t.limit == limit {
		t.usedAt = now
		return t.http
	}
	if ok {
		t.http.CloseIdleConnections()
	}
	fresh := &boundTransport{limit: limit, usedAt: now, http: newTransport(limit)}
	c.transports[addr] = fresh
	return fresh.http
}

// forget closes the transports that were not used for a while.
func (c *backendClient) forget(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, t := range c.transports {
		if now.Sub(t.usedAt) > 2*idleConnTimeout {
			t.http.CloseIdleConnections()
			delete(c.transports, addr)
		}
	}
}

func (c *backendClient) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.transports {
		t.http.CloseIdleConnections()
	}
}

func newTransport(limit int) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:     limit,
		MaxIdleConnsPerHost: limit,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		ForceAttemptHTTP2:   false,
	}
}

// call makes one attempt at a backend server and judges its response.
func (c *backendClient) call(ctx context.Context, now time.Time, lent routing.Lent, req *callRequest) attempt {
	var connected bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	left := max(req.deadline.Sub(now), time.Millisecond)
	httpReq, err := newBackendRequest(httptrace.WithClientTrace(ctx, trace), lent.Address, req, left)
	if err != nil {
		return notRun(routing.Failed, api.CodeBackendFailed, err.Error())
	}
	resp, err := c.transport(now, lent.Address, max(lent.Connections, 1)).RoundTrip(httpReq)
	if err != nil && !connected {
		return notRun(routing.Failed, api.CodeBackendFailed, "no connection to the backend server")
	}
	if err != nil {
		got := broken(ctx, api.CodeBackendFailed, "the connection to the backend server broke")
		got.goesOn = true
		return got
	}
	defer resp.Body.Close()
	return judge(ctx, resp, req)
}

func newBackendRequest(ctx context.Context, addr string, req *callRequest, left time.Duration) (*http.Request, error) {
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
	httpReq.Header.Set(api.HeaderDeadlineMS, strconv.FormatInt(left.Milliseconds(), 10))
	return httpReq, nil
}

// judge reads a response and accepts it only when it is whole and belongs to the
// request.
func judge(ctx context.Context, resp *http.Response, req *callRequest) attempt {
	if resp.Header.Get(api.HeaderRequestID) != req.id {
		return broken(ctx, api.CodeAnswerMismatch, "the backend server answered another request")
	}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(api.HeaderNotRun) == "true" {
		return notRun(routing.Unused, api.CodeNoBackend, "the backend server took no more work")
	}
	if resp.ContentLength < 0 {
		return broken(ctx, api.CodeAnswerTruncated, "the answer states no length")
	}
	if resp.ContentLength > maxAnswerBytes {
		return broken(ctx, api.CodeTooLarge, "the answer exceeds the size limit")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, resp.ContentLength+1))
	if err != nil || int64(len(body)) != resp.ContentLength {
		return broken(ctx, api.CodeAnswerTruncated, "the answer was cut off")
	}
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return broken(ctx, api.CodeBackendFailed, "the backend server answered with status "+strconv.Itoa(resp.StatusCode))
	}
	answer := &wire.CallAnswer{
		Verdict:     string(api.Done),
		Status:      http.StatusOK,
		ContentType: resp.Header.Get(api.HeaderContentType),
		Body:        body,
	}
	return attempt{effect: effectAnswered, outcome: routing.Succeeded, answer: answer}
}

// notRun is an attempt of which the backend server ran nothing.
func notRun(outcome routing.Outcome, code api.Code, message string) attempt {
	refusal := api.RetryLater(code, message, defaultRetryAfter)
	return attempt{effect: effectNotRun, outcome: outcome, answer: asAnswer(refusal)}
}

// broken is an attempt that may have run; with an ended context the cause is the
// time limit.
func broken(ctx context.Context, code api.Code, message string) attempt {
	refusal := api.UnknownOutcome(code, message)
	refusal.Status = http.StatusBadGateway
	if ctx.Err() != nil {
		refusal = api.UnknownOutcome(api.CodeTimeout, "no answer within the time limit")
	}
	return attempt{effect: effectUnknown, outcome: routing.Failed, answer: asAnswer(refusal)}
}
