package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/backendsim"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/history"
	"github.com/samphirefork/samphirefork/internal/simworker"
	"github.com/samphirefork/samphirefork/internal/wait"
)

const (
	maxAttemptTimeout = 12 * time.Second
	jobLongPollWait   = 2 * time.Second
	maxRetryAfter     = 2 * time.Second
	minRetryAfter     = 20 * time.Millisecond
)

// Balancer picks entries at random, as the platform's load balancer does, and for
// 300 ms avoids an entry to which a request failed without a response.
type Balancer struct {
	mu         sync.Mutex
	rng        *rand.Rand
	entries    []*Process
	avoidUntil map[*Process]time.Time
}

// unreachableBackoff is how long the balancer avoids an entry after a request to it
// failed without a response.
const unreachableBackoff = 300 * time.Millisecond

// NewBalancer returns a balancer over entries whose random choice starts from seed.
func NewBalancer(entries []*Process, seed uint64) *Balancer {
	return &Balancer{rng: rand.New(rand.NewPCG(seed, seed)), entries: entries, avoidUntil: map[*Process]time.Time{}}
}

func (b *Balancer) pick() *Process {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	start := b.rng.IntN(len(b.entries))
	for i := range b.entries {
		e := b.entries[(start+i)%len(b.entries)]
		if now.After(b.avoidUntil[e]) {
			return e
		}
	}
	return b.entries[start]
}

func (b *Balancer) markUnreachable(e *Process) {
	b.mu.Lock()
	b.avoidUntil[e] = time.Now().Add(unreachableBackoff)
	b.mu.Unlock()
}

// Caller sends the requests of one team and records each attempt and its answer.
type Caller struct {
	Team     string
	Key      string
	KeyID    string
	Balancer *Balancer
	Record   *history.Writer
	// HomeDataCentre, if not empty, comes first in request identifiers, with a dot
	// after it.
	HomeDataCentre string
	// Attempts is the maximum number of attempts for a request; values below 1
	// count as 1.
	Attempts int
	// AttemptTimeout limits one attempt; 0 means 12 s, which is also the maximum.
	AttemptTimeout time.Duration
	// StopOnFinalRefusal stops retries at a 4xx status other than 429, which a
	// further attempt can't change, such as that of a withdrawn key.
	StopOnFinalRefusal bool
	// Latency is the one-way delay between the caller and the entries.
	Latency time.Duration
	// Open names the queues and services that take requests without a key;
	// requests to them belong to no team.
	Open map[string]bool

	client *http.Client
	serial atomic.Uint64
	prefix string
}

// NewCaller returns a caller with its own connections that makes one attempt for
// each request. Request identifiers contain prefix, the team and a number.
func NewCaller(team, keyID, key string, b *Balancer, record *history.Writer, prefix string) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second}
	return &Caller{
		Team:     team,
		Key:      key,
		KeyID:    keyID,
		Balancer: b,
		Record:   record,
		Attempts: 1,
		client:   &http.Client{Timeout: maxAttemptTimeout, Transport: transport},
		prefix:   prefix,
	}
}

// NextID returns a new request identifier.
func (c *Caller) NextID() string {
	id := fmt.Sprintf("%s-%s-%d", c.prefix, c.Team, c.serial.Add(1))
	if c.HomeDataCentre != "" {
		id = c.HomeDataCentre + "." + id
	}
	return id
}

// Outcome is the outcome of a request as the caller observed it: the verdict, code
// and body of the last answer, the number of attempts and the time since the first.
type Outcome struct {
	RequestID string
	Verdict   string
	Code      string
	Attempts  int
	Elapsed   time.Duration
	Body      []byte
}

// callNotifyWritten makes one call and invokes written once, when the request has
// been written or, failing that, when the call has ended.
func (c *Caller) callNotifyWritten(ctx context.Context, service string, written func()) {
	var once sync.Once
	trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { once.Do(written) }}
	c.Call(httptrace.WithClientTrace(ctx, trace), service, []byte(service), true, callTimeout)
	once.Do(written)
}

// reply is the answer to one attempt. connectionLost is set when no complete
// answer arrived.
type reply struct {
	verdict, code  string
	retryAfter     time.Duration
	status         int
	body           []byte
	connectionLost bool
}

// Call makes a direct call. It retries with the same identifier until the verdict
// is done, a refusal is final (see StopOnFinalRefusal), no attempts are left, or ctx ends.
// Between attempts it waits for the retry time of the answer, at least 20 ms and
// at most 2 s. The entry receives timeout with each attempt as the time limit of
// the call; 0 sends none.
func (c *Caller) Call(ctx context.Context, service string, body []byte, idempotent bool, timeout time.Duration) Outcome {
	out := Outcome{RequestID: c.NextID()}
	began := time.Now()
	for out.Attempts < max(c.Attempts, 1) && ctx.Err() == nil {
		out.Attempts++
		entry := c.Balancer.pick()
		c.recordSend(out, service, entry, idempotent)
		r := c.attempt(ctx, entry, service, "/v1/call/"+service, body, out.RequestID, out.Attempts, idempotent, timeout)
		c.recordReply(out.RequestID, out.Attempts, r, backendsim.CheckAnswer(out.RequestID, body, r.body))
		out.Verdict, out.Code, out.Body = r.verdict, r.code, r.body
		if r.verdict == string(api.Done) || c.endsRequest(r) {
			break
		}
		wait.For(ctx, min(max(r.retryAfter, minRetryAfter), maxRetryAfter))
	}
	out.Elapsed = time.Since(began)
	return out
}

// endsRequest reports whether the answer is a refusal after which the caller makes
// no further attempt.
func (c *Caller) endsRequest(r reply) bool {
	refused := r.status >= http.StatusBadRequest && r.status < http.StatusInternalServerError
	return c.StopOnFinalRefusal && refused && r.status != http.StatusTooManyRequests
}

// attempt sends a request once. It omits the key for targets in Open.
func (c *Caller) attempt(ctx context.Context, entry *Process, target, path string, body []byte, id string, n int, idempotent bool, timeout time.Duration) reply {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.Address+path, bytes.NewReader(body))
	if err != nil {
		return reply{connectionLost: true}
	}
	req.Header.Set(api.HeaderRequestID, id)
	req.Header.Set(api.HeaderAttempt, strconv.Itoa(n))
	req.Header.Set(api.HeaderIdempotent, strconv.FormatBool(idempotent))
	if timeout > 0 {
		req.Header.Set(api.HeaderTimeoutMS, strconv.FormatInt(timeout.Milliseconds(), 10))
	}
	if !c.Open[target] {
		req.Header.Set(api.HeaderKey, c.Key)
	}
	return c.do(req, entry)
}

// do sends a request, with the simulated latency before and after it. Without a
// complete answer, connectionLost is set in the reply.
func (c *Caller) do(req *http.Request, entry *Process) reply {
	if c.AttemptTimeout > 0 {
		ctx, cancel := context.WithTimeout(req.Context(), c.AttemptTimeout)
		defer cancel()
		req = req.WithContext(ctx)
	}
	wait.For(req.Context(), c.Latency)
	r := c.exchange(req, entry)
	wait.For(req.Context(), c.Latency)
	return r
}

func (c *Caller) exchange(req *http.Request, entry *Process) reply {
	resp, err := c.client.Do(req)
	if err != nil {
		c.Balancer.markUnreachable(entry)
		return reply{connectionLost: true}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{connectionLost: true}
	}
	r := reply{status: resp.StatusCode, body: data, verdict: resp.Header.Get(api.HeaderVerdict)}
	if resp.StatusCode >= http.StatusBadRequest {
		var refusal api.Refusal
		if json.Unmarshal(data, &refusal) == nil {
			r.verdict, r.code = string(refusal.Verdict), string(refusal.Code)
			r.retryAfter = time.Duration(refusal.RetryAfterMS) * time.Millisecond
		}
	}
	return r
}

func (c *Caller) recordSend(out Outcome, target string, entry *Process, idempotent bool) {
	e := history.Event{
		Kind: history.Send, RequestID: out.RequestID, Attempt: out.Attempts, Team: c.Team, KeyID: c.KeyID,
		Target: target, Entry: entry.Name, Idempotent: idempotent,
	}
	if c.Open[target] {
		e.Team, e.KeyID = "", ""
	}
	c.Record.Record(e)
}

func (c *Caller) recordReply(id string, attempt int, r reply, intact error) {
	e := history.Event{Kind: history.Answer, RequestID: id, Attempt: attempt, Team: c.Team, Verdict: r.verdict, Code: r.code, Intact: intact == nil}
	if r.connectionLost {
		e.Kind = history.ConnectionLost
	}
	if intact != nil && r.verdict == string(api.Done) {
		e.Detail = intact.Error()
	}
	c.Record.Record(e)
}

// ErrJobResult is recorded when a job's result differs from the one expected for
// its identifier.
var ErrJobResult = errors.New("harness: the result does not belong to the job")

// Job submits a job under a new identifier, with as many attempts as Call makes. Once
// the job is accepted, Job polls until its state is final or ctx ends.
func (c *Caller) Job(ctx context.Context, queue string, spec fleet.JobSpec) Outcome {
	return c.JobWithID(ctx, c.NextID(), queue, spec)
}

// JobWithID is like Job, under an identifier that NextID returned.
func (c *Caller) JobWithID(ctx context.Context, id, queue string, spec fleet.JobSpec) Outcome {
	out := Outcome{RequestID: id}
	began := time.Now()
	body, err := json.Marshal(spec)
	if err != nil {
		return out
	}
	if c.submit(ctx, &out, queue, body, spec.Idempotent) {
		c.await(ctx, &out)
	}
	out.Elapsed = time.Since(began)
	return out
}

// submit sends the job until it is accepted, a refusal is final, or no attempts are
// left. It reports whether the job was accepted.
func (c *Caller) submit(ctx context.Context, out *Outcome, queue string, body []byte, idempotent bool) bool {
	for out.Attempts < max(c.Attempts, 1) && ctx.Err() == nil {
		out.Attempts++
		entry := c.Balancer.pick()
		c.recordSend(*out, queue, entry, idempotent)
		r := c.attempt(ctx, entry, queue, "/v1/queues/"+queue+"/jobs", body, out.RequestID, out.Attempts, idempotent, 0)
		out.Verdict, out.Code = r.verdict, r.code
		if r.status == http.StatusAccepted {
			return true
		}
		c.recordReply(out.RequestID, out.Attempts, r, nil)
		if c.endsRequest(r) {
			return false
		}
		wait.For(ctx, min(max(r.retryAfter, minRetryAfter), maxRetryAfter))
	}
	return false
}

// await polls the job until its state is final or ctx ends.
func (c *Caller) await(ctx context.Context, out *Outcome) {
	for ctx.Err() == nil {
		entry := c.Balancer.pick()
		url := fmt.Sprintf("http://%s/v1/jobs/%s?wait_ms=%d", entry.Address, out.RequestID, jobLongPollWait.Milliseconds())
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return
		}
		req.Header.Set(api.HeaderKey, c.Key)
		r := c.do(req, entry)
		var job fleet.Job
		if r.status != http.StatusOK || json.Unmarshal(r.body, &job) != nil || !job.State.Final() {
			wait.For(ctx, minRetryAfter)
			continue
		}
		c.finishJob(out, job)
		return
	}
}

func (c *Caller) finishJob(out *Outcome, job fleet.Job) {
	r := reply{verdict: jobVerdict(job), code: string(job.State)}
	var intact error
	if job.State == fleet.JobDone && !bytes.Equal(job.Result, simworker.Result(job.ID)) {
		intact = ErrJobResult
	}
	out.Verdict, out.Code, out.Body = r.verdict, r.code, job.Result
	c.recordReply(out.RequestID, out.Attempts, r, intact)
}

// jobVerdict maps the final state of a job to a verdict. A failed job has run, so
// its verdict is done.
func jobVerdict(job fleet.Job) string {
	switch {
	case job.State == fleet.JobDone || job.State == fleet.JobFailed:
		return string(api.Done)
	case job.State == fleet.JobCancelled && !job.Started:
		return string(api.NotRun)
	default:
		return string(api.MayHaveRun)
	}
}

// Cancel makes one attempt to cancel a job and ignores the answer.
func (c *Caller) Cancel(ctx context.Context, id string) {
	entry := c.Balancer.pick()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+entry.Address+"/v1/jobs/"+id, nil)
	if err != nil {
		return
	}
	req.Header.Set(api.HeaderKey, c.Key)
	c.do(req, entry)
}

// Close closes the caller's idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }
