package entry

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	mathrand "math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/httpserver"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	// defaultRetryAfter is the retry time in refusals for which no queue gives a
	// better estimate.
	defaultRetryAfter = 500 * time.Millisecond
	// leaseRetryAfter is the mean retry time stated by an entry without a lease. It
	// is shorter than an election, since another entry may well have a lease.
	leaseRetryAfter = 500 * time.Millisecond
	maxIDBytes      = 128
)

// jitteredLeaseRetryAfter returns a random retry time from half to one and a half
// times leaseRetryAfter, so that the callers of an entry that lost its lease do not
// all return at once.
func jitteredLeaseRetryAfter() time.Duration {
	return leaseRetryAfter/2 + mathrand.N(leaseRetryAfter)
}

// callRequest is one direct call.
type callRequest struct {
	id          string
	service     string
	team        string
	key         string
	keyID       string
	open        bool
	idempotent  bool
	contentType string
	body        []byte
	deadline    time.Time
	// firstAttempt is true if certainly no earlier attempt was made with this
	// identifier.
	firstAttempt bool
	// retry is true if an earlier attempt is known.
	retry bool
	// entry is the instance name of the entry that sends the call to a backend
	// server.
	entry string
	// forwarded is true for a call that an entry of another data centre admitted.
	forwarded bool
}

// requestIdentity is the identifier of a request and what is known about earlier
// attempts with it.
type requestIdentity struct {
	id           string
	firstAttempt bool
	retry        bool
}

// identify reads the request identifier and the attempt number from the headers. A
// request without an identifier gets a new one, so it is a first attempt. A request
// whose identifier was seen here recently is a retry.
func (e *Entry) identify(c echo.Context) (requestIdentity, *api.Refusal) {
	header := c.Request().Header
	out := requestIdentity{id: header.Get(api.HeaderRequestID)}
	if out.id == "" {
		out.id = e.newRequestID()
		out.firstAttempt = true
		return out, nil
	}
	if len(out.id) > maxIDBytes || strings.ContainsFunc(out.id, invalidIDRune) {
		out.id = ""
		return out, api.Refuse(http.StatusBadRequest, api.CodeBadRequest, "the request identifier is too long or has characters other than letters, digits and .-_:")
	}
	switch text := header.Get(api.HeaderAttempt); text {
	case "":
	case "1":
		out.firstAttempt = true
	default:
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return out, api.Refuse(http.StatusBadRequest, api.CodeBadRequest, api.HeaderAttempt+" is not a positive number")
		}
		out.retry = n > 1
	}
	if e.sched.markSeen(out.id) {
		out.firstAttempt, out.retry = false, true
	}
	return out, nil
}

func invalidIDRune(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	digit := r >= '0' && r <= '9'
	return !letter && !digit && !strings.ContainsRune(".-_:", r)
}

// newRequestID returns a new request identifier whose home ledger is in this data
// centre.
func (e *Entry) newRequestID() string {
	var random [12]byte
	_, _ = rand.Read(random[:])
	ms := strconv.FormatInt(time.Now().UnixMilli(), 10)
	return e.settings.DataCentre + "." + ms + "-" + hex.EncodeToString(random[:])
}

// authorize checks a key against the leased configuration and returns its team and
// its identifier. It refuses every key while the lease is not valid.
func (e *Entry) authorize(key string) (team, keyID string, refusal *api.Refusal) {
	config, valid := e.lease.view(e.clock())
	if key == "" {
		return "", "", api.Refuse(http.StatusUnauthorized, api.CodeKeyMissing, "the request needs a key")
	}
	if !valid {
		return "", "", api.RetryLater(api.CodeNoLease, "this entry has no valid configuration lease", jitteredLeaseRetryAfter())
	}
	keyID, secret, _ := strings.Cut(key, ".")
	known, ok := config.Keys[keyID]
	sum := sha256.Sum256([]byte(secret))
	presented := hex.EncodeToString(sum[:])
	if !ok || subtle.ConstantTimeCompare([]byte(presented), []byte(known.SecretSHA256)) != 1 {
		return "", "", api.Refuse(http.StatusUnauthorized, api.CodeKeyUnknown, "the key is not known")
	}
	if known.Withdrawn {
		return "", "", api.Refuse(http.StatusForbidden, api.CodeKeyWithdrawn, "the key was withdrawn")
	}
	return known.Team, keyID, nil
}

// allowsForward reports whether this entry's own lease permits a forwarded call. An
// entry that was suspended may read the call long after its sender was permitted to
// run it.
func (e *Entry) allowsForward(fwd *wire.ForwardRequest) bool {
	if fwd.KeyID == "" {
		return true
	}
	config, valid := e.lease.view(e.clock())
	if !valid {
		return false
	}
	key, ok := config.Keys[fwd.KeyID]
	return ok && !key.Withdrawn && key.Team == fwd.Team
}

// checkPermitted checks again, immediately before a dispatch, that the call may
// run: its deadline has not passed and its key is still valid.
func (e *Entry) checkPermitted(req *callRequest) *api.Refusal {
	if !e.clock().Before(req.deadline) {
		return api.RetryLater(api.CodeDeadlineUnreachable, "the time limit passed before the call started", defaultRetryAfter)
	}
	if req.open || req.forwarded {
		return nil
	}
	team, _, refusal := e.authorize(req.key)
	if refusal != nil {
		return refusal
	}
	if team != req.team {
		return api.Refuse(http.StatusForbidden, api.CodeWrongTeam, "the key belongs to another team")
	}
	return nil
}

// parseCall reads a direct call and validates it against the configuration. The
// request is never nil, also if the call is refused.
func (e *Entry) parseCall(c echo.Context) (*callRequest, *api.Refusal) {
	identity, refusal := e.identify(c)
	req := &callRequest{id: identity.id, firstAttempt: identity.firstAttempt, retry: identity.retry, entry: e.settings.Instance, service: c.Param("service")}
	if refusal != nil {
		return req, refusal
	}
	header := c.Request().Header
	req.key = header.Get(api.HeaderKey)
	req.idempotent = header.Get(api.HeaderIdempotent) == "true"
	req.contentType = header.Get(api.HeaderContentType)
	service, refusal := e.lookUpService(req.service)
	if refusal != nil {
		return req, refusal
	}
	req.open = service.Open
	if !req.open {
		if req.team, req.keyID, refusal = e.authorize(req.key); refusal != nil {
			return req, refusal
		}
	}
	limit, refusal := parseTimeLimit(header.Get(api.HeaderTimeoutMS), service)
	if refusal != nil {
		return req, refusal
	}
	req.deadline = e.clock().Add(limit)
	req.body, refusal = readBody(c)
	return req, refusal
}

// lookUpService finds a service in the configuration. It does not need a valid
// lease.
func (e *Entry) lookUpService(name string) (fleet.Service, *api.Refusal) {
	config, _ := e.lease.view(e.clock())
	if config == nil {
		return fleet.Service{}, api.RetryLater(api.CodeNoLease, "this entry has no configuration yet", jitteredLeaseRetryAfter())
	}
	service, ok := config.Services[name]
	if !ok {
		return service, api.Refuse(http.StatusNotFound, api.CodeNotFound, "no such service")
	}
	return service, nil
}

// parseTimeLimit parses the time limit of a request in milliseconds, by default
// that of the service, and limits it to fleet.MaxCallTime.
func parseTimeLimit(text string, service fleet.Service) (time.Duration, *api.Refusal) {
	limit := time.Duration(service.TimeoutMS) * time.Millisecond
	if text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms < 1 {
			return 0, api.Refuse(http.StatusBadRequest, api.CodeBadRequest, api.HeaderTimeoutMS+" is not a positive number")
		}
		limit = time.Duration(ms) * time.Millisecond
	}
	if limit <= 0 || limit > fleet.MaxCallTime {
		limit = fleet.MaxCallTime
	}
	return limit, nil
}

func readBody(c echo.Context) ([]byte, *api.Refusal) {
	return readLimited(c, maxRequestBytes)
}

// readLimited reads a request body of at most limit bytes that arrives within
// bodyTimeout.
func readLimited(c echo.Context, limit int64) ([]byte, *api.Refusal) {
	body, err := httpserver.Read(c.Request(), limit, bodyTimeout)
	switch {
	case errors.Is(err, httpserver.ErrBusy):
		return nil, api.RetryLater(api.CodeOverloaded, "this entry has no memory for the request", defaultRetryAfter)
	case errors.Is(err, httpserver.ErrTooLarge):
		return nil, api.Refuse(http.StatusBadRequest, api.CodeTooLarge, "the request body is too large")
	case err != nil:
		return nil, api.Refuse(http.StatusRequestTimeout, api.CodeBadRequest, "the request body was cut off")
	}
	return body, nil
}

// fingerprint returns a hash of the service, team, content type and body. Requests
// with one identifier but different fingerprints are different requests.
func (r *callRequest) fingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{r.service, r.team, r.contentType} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.body)
	return d.Sum64()
}

// refusalToAnswer converts a refusal to the form in which answers are stored and
// forwarded.
func refusalToAnswer(r *api.Refusal) *wire.CallAnswer {
	return &wire.CallAnswer{
		Verdict:      string(r.Verdict),
		Code:         string(r.Code),
		Status:       r.Status,
		Message:      r.Message,
		RetryAfterMS: r.RetryAfterMS,
	}
}

// answerToRefusal is the inverse of refusalToAnswer.
func answerToRefusal(a *wire.CallAnswer) *api.Refusal {
	return &api.Refusal{
		Verdict:      api.Verdict(a.Verdict),
		Code:         api.Code(a.Code),
		Status:       a.Status,
		Message:      a.Message,
		RetryAfterMS: a.RetryAfterMS,
	}
}
