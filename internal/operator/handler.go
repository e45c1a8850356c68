// Package operator serves the operators' interface on an entry instance. It
// checks the operator token and the input, and passes changes and queries to
// the leader of the replicated log.
//
// The package holds no state: the first answer to a request identifier is kept
// in the replicated log, so a request may be sent again to any entry instance.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/samphirefork/samphirefork/gen/samphirefork/v1/samphireforkv1connect"
	"github.com/samphirefork/samphirefork/internal/leader"
)

const (
	// DefaultTimeout is how long a request looks for a leader that answers it.
	DefaultTimeout = 5 * time.Second
	// maxRequestBytes leaves room for the message to the leader within its frame limit.
	maxRequestBytes = 2 << 20
	// maxAnswerMargin is kept from the caller's time limit for the answer's way.
	maxAnswerMargin = 200 * time.Millisecond
)

// Options are the settings of the handler.
type Options struct {
	// Token admits operators; an empty token admits no one.
	Token string
	// KeySecret is the server-side secret from which IssueKey derives keys. It
	// must be equal on all entry instances, as the shared secret of the fleet is.
	KeySecret []byte
	// Timeout defaults to DefaultTimeout. The time that a request asks to wait
	// for a change to be in force is added to it.
	Timeout time.Duration
}

// service implements the generated handler interface.
type service struct {
	leader *leader.Client
	opts   Options
}

var _ samphireforkv1connect.OperatorHandler = (*service)(nil)

// NewHandler returns the handler of the operators' interface and the path
// prefix at which to mount it.
func NewHandler(client *leader.Client, opts Options) (string, http.Handler) {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	s := &service{leader: client, opts: opts}
	path, h := samphireforkv1connect.NewOperatorHandler(s, connect.WithReadMaxBytes(maxRequestBytes))
	return path, requireToken(opts.Token, h)
}

// deadline bounds a request by the handler's time limit and by the caller's,
// less a margin in which the answer reaches the caller.
func (s *service) deadline(ctx context.Context, hold time.Duration) (context.Context, context.CancelFunc) {
	limit := s.opts.Timeout + hold
	if d, ok := ctx.Deadline(); ok {
		left := time.Until(d)
		limit = min(limit, left-min(left/10, maxAnswerMargin))
	}
	return context.WithTimeout(ctx, limit)
}

// requireToken refuses a request without the token before its body is read.
func requireToken(token string, next http.Handler) http.Handler {
	writer := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if found && token != "" && equalTokens(given, token) {
			next.ServeHTTP(w, r)
			return
		}
		err := errUnauthorized()
		if writer.IsSupported(r) {
			_ = writer.Write(w, r, err)
			return
		}
		http.Error(w, err.Message(), http.StatusUnauthorized)
	})
}

// equalTokens compares hashes, so that the time taken tells neither the
// content nor the length of the token.
func equalTokens(a, b string) bool {
	x, y := sha256.Sum256([]byte(a)), sha256.Sum256([]byte(b))
	return subtle.ConstantTimeCompare(x[:], y[:]) == 1
}
