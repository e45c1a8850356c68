// Package operator implements the operator API on an entry instance. It checks the
// operator token, validates the input, and forwards changes and queries to the leader
// of the replicated log.
//
// The package is stateless. The replicated log stores the first response to each
// request identifier, so a client may repeat a request on any entry instance.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"io"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/gen/samphirefork/v1/samphireforkv1connect"
	"github.com/samphirefork/samphirefork/internal/httpserver"
	"github.com/samphirefork/samphirefork/internal/leader"
)

const (
	// DefaultTimeout is the default of Options.Timeout.
	DefaultTimeout = 5 * time.Second
	// maxRequestBytes is the maximum size of a request body. It leaves room for the
	// message to the leader, which has to fit into one frame.
	maxRequestBytes = 2 << 20
	// maxResponseMargin is the maximum time that is reserved, before the deadline of the
	// caller, for the response to reach it.
	maxResponseMargin = 200 * time.Millisecond
)

// Options configures the handler.
type Options struct {
	// Token is the bearer token that every request must carry. If it is empty, all
	// requests are refused.
	Token string
	// KeySecret is the secret from which IssueKey derives keys. It must be the same on
	// all entry instances, like the shared secret of the fleet. If it is empty, IssueKey
	// fails with CodeNoKeySecret.
	KeySecret []byte
	// Timeout is the time limit of a request, including the search for the leader.
	// If it is 0 or negative, DefaultTimeout is used. For a change, the time that the
	// request asks to wait until the change is in force is added.
	Timeout time.Duration
}

// service implements the generated handler interface.
type service struct {
	leader *leader.Client
	opts   Options
}

var _ samphireforkv1connect.OperatorHandler = (*service)(nil)

// NewHandler returns the HTTP handler of the operator API, preceded by the path prefix
// at which it must be mounted. client sends the changes and queries to the leader.
func NewHandler(client *leader.Client, opts Options) (string, http.Handler) {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	s := &service{leader: client, opts: opts}
	path, h := samphireforkv1connect.NewOperatorHandler(s, connect.WithReadMaxBytes(maxRequestBytes))
	return path, requireToken(opts.Token, reportUnreadBodies(h))
}

// reportUnreadBodies passes on requests whose body, when it can't be read to its end, leaves the outcome
// open: the request may repeat a change that was carried out.
func reportUnreadBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = openOutcomeBody{r.Body}
		next.ServeHTTP(w, r)
	})
}

type openOutcomeBody struct{ io.ReadCloser }

// Read implements io.Reader.
func (b openOutcomeBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, httpserver.ErrBusy) || errors.Is(err, httpserver.ErrIncomplete) {
		return n, changeError(err)
	}
	return n, err
}

// withDeadline limits ctx to the timeout of the handler plus wait. If the caller has set
// a deadline, it also leaves a margin before that deadline, so that the response still
// reaches the caller in time.
func (s *service) withDeadline(ctx context.Context, wait time.Duration) (context.Context, context.CancelFunc) {
	limit := s.opts.Timeout + wait
	if d, ok := ctx.Deadline(); ok {
		left := time.Until(d)
		limit = min(limit, left-min(left/10, maxResponseMargin))
	}
	return context.WithTimeout(ctx, limit)
}

// requireToken refuses requests without the token before their body is read.
func requireToken(token string, next http.Handler) http.Handler {
	writer := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sent, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if found && token != "" && equalTokens(sent, token) {
			next.ServeHTTP(w, r)
			return
		}
		err := unauthorizedError()
		if writer.IsSupported(r) {
			_ = writer.Write(w, r, err)
			return
		}
		http.Error(w, err.Message(), http.StatusUnauthorized)
	})
}

// equalTokens compares the hashes of the tokens, so that the duration of the comparison
// reveals neither the content nor the length of the token.
func equalTokens(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}
