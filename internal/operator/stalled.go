package operator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/leader"
	"github.com/samphirefork/samphirefork/internal/stall"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// NewStalledHandler returns the HTTP handler of the stalled work of all teams, which must be
// mounted at api.PathOperatorStalled. It requires the operator token.
func NewStalledHandler(client *leader.Client, opts Options) http.Handler {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	s := &service{leader: client, opts: opts}
	return requireToken(opts.Token, http.HandlerFunc(s.serveStalled))
}

func (s *service) serveStalled(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
		return
	}
	ctx, cancel := s.withDeadline(r.Context(), 0)
	defer cancel()
	query := r.URL.Query()
	msg := wire.StalledRequest{AllTeams: true, Queue: query.Get("queue"), Reason: stall.Reason(query.Get("reason"))}
	var reply wire.StalledReply
	if err := s.leader.Call(ctx, wire.TypeStalled, msg, &reply, 0); err != nil {
		w.Header().Set(api.HeaderRetryAfter, strconv.Itoa(retryAfterMS/1000))
		writeJSON(w, http.StatusServiceUnavailable, api.RetryLater(api.CodeNoQuorum, err.Error(), retryAfterMS*time.Millisecond))
		return
	}
	writeJSON(w, http.StatusOK, api.NewStalledList(reply))
}

// writeJSON sends v. An error means that the caller has left, which needs no answer.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set(api.HeaderContentType, "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
