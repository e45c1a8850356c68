package operator

import (
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/httpserver"
	"github.com/samphirefork/samphirefork/internal/leader"
	"github.com/samphirefork/samphirefork/internal/strictjson"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// maxWhereBytes bounds the body of a request, and whereBodyTimeout the time to read it.
const (
	maxWhereBytes    = 256 << 10
	whereBodyTimeout = 2 * time.Second
)

// NewWhereHandler returns the HTTP handler of the question where a job would go now, which
// must be mounted at api.PathOperatorWhere. It requires the operator token.
func NewWhereHandler(client *leader.Client, opts Options) http.Handler {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	s := &service{leader: client, opts: opts}
	return requireToken(opts.Token, http.HandlerFunc(s.serveWhere))
}

func (s *service) serveWhere(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
		return
	}
	body, err := httpserver.Read(r, maxWhereBytes, whereBodyTimeout)
	if errors.Is(err, httpserver.ErrBusy) {
		refuseForNow(w, api.CodeOverloaded, err)
		return
	}
	var msg wire.WhereRequest
	if err == nil {
		err = strictjson.Unmarshal(body, &msg.Job)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, api.Refuse(http.StatusBadRequest, api.CodeBadRequest, err.Error()))
		return
	}
	msg.Job.Queue, msg.Job.Team = r.URL.Query().Get("queue"), r.URL.Query().Get("team")
	ctx, cancel := s.withDeadline(r.Context(), 0)
	defer cancel()
	var reply wire.WhereReply
	err = s.leader.Call(ctx, wire.TypeWhere, msg, &reply, 0)
	var refused *wire.ErrorBody
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, reply)
	case !isUnavailable(err) && errors.As(err, &refused) && refused.Code == wire.CodeBadMessage:
		writeJSON(w, http.StatusBadRequest, api.Refuse(http.StatusBadRequest, api.CodeBadRequest, refused.Message))
	default:
		refuseForNow(w, whereCode(err), err)
	}
}

func refuseForNow(w http.ResponseWriter, code api.Code, err error) {
	w.Header().Set(api.HeaderRetryAfter, strconv.Itoa(retryAfterMS/1000))
	writeJSON(w, http.StatusServiceUnavailable, api.RetryLater(code, err.Error(), retryAfterMS*time.Millisecond))
}

func isUnavailable(err error) bool {
	var unavailable *leader.ErrUnavailable
	return errors.As(err, &unavailable)
}

// whereCode tells a leader that answers another request from one that does not answer.
func whereCode(err error) api.Code {
	var unavailable *leader.ErrUnavailable
	var refused *wire.ErrorBody
	if errors.As(err, &unavailable) && errors.As(unavailable.Cause, &refused) && refused.Code == wire.CodeBusy {
		return api.CodeBusy
	}
	return api.CodeNoQuorum
}
