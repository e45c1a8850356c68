package workerlink

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/httpserver"
	"github.com/samphirefork/samphirefork/internal/strictjson"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// AnnouncePath is the HTTP path at which an entry receives the announcements of
// workers.
const AnnouncePath = "/v1/announce/worker"

// maxAnnouncementBytes bounds the body of an announcement. It has room for all results
// that the state machine retains, in base64.
const maxAnnouncementBytes = 2 * fleet.MaxRetainedBytes

const (
	// announcementTimeout is the time to receive an announcement.
	announcementTimeout = 10 * time.Second
	// announcementRetry is the time after which a worker whose announcement was not read comes again.
	announcementRetry = 500 * time.Millisecond

	maxNameBytes = 256
)

// TaskOrder is the body of an HTTP request that sends an order to a worker. Attempt is
// set for orders about a task, Spec and OnPartition only to start one.
type TaskOrder struct {
	Incarnation string                `json:"incarnation"`
	Attempt     int                   `json:"attempt,omitempty"`
	Spec        *fleet.JobSpec        `json:"spec,omitempty"`
	OnPartition fleet.PartitionPolicy `json:"on_partition,omitempty"`
}

// HTTPOrderSender sends orders to workers over HTTP.
type HTTPOrderSender struct {
	Client *http.Client
}

// Send implements OrderSender. An answer with an HTTP status of 300 or above is a
// refusal, which wraps ErrRefused.
func (s HTTPOrderSender) Send(ctx context.Context, address string, order wire.Order) error {
	body, err := json.Marshal(TaskOrder{
		Incarnation: order.Incarnation,
		Attempt:     order.Task.Attempt,
		Spec:        order.Spec,
		OnPartition: order.OnPartition,
	})
	if err != nil {
		return errors.Wrap(err, "workerlink: encode order")
	}
	method, path := requestTarget(order)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "workerlink: create order request")
	}
	req.Header.Set(api.HeaderContentType, echo.MIMEApplicationJSON)
	resp, err := s.Client.Do(req)
	if err != nil {
		return errors.Wrap(err, "workerlink: send order")
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnnouncementBytes))
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Wrapf(ErrRefused, "HTTP status %d", resp.StatusCode)
	}
	return nil
}

// requestTarget returns the HTTP method and path for an order.
func requestTarget(order wire.Order) (method, path string) {
	task := "/tasks/" + url.PathEscape(order.Task.JobID)
	switch order.Kind {
	case wire.OrderStart:
		return http.MethodPut, task
	case wire.OrderDrain, wire.OrderUndrain, wire.OrderReboot:
		return http.MethodPost, "/" + string(order.Kind)
	default:
		return http.MethodPost, task + "/" + string(order.Kind)
	}
}

// Mount adds the handler of announcements to the entry's HTTP server. It answers with
// an AnnounceReply, or with status 400 if the announcement is invalid.
func (m *Manager) Mount(e *echo.Echo) {
	e.POST(AnnouncePath, func(c echo.Context) error {
		var a Announcement
		data, err := httpserver.Read(c.Request(), maxAnnouncementBytes, announcementTimeout)
		if errors.Is(err, httpserver.ErrBusy) {
			refusal := api.RetryLater(api.CodeOverloaded, err.Error(), announcementRetry)
			return c.JSON(refusal.Status, refusal)
		}
		if err != nil {
			return badRequest(c, err.Error())
		}
		if err := strictjson.Unmarshal(data, &a); err != nil {
			return badRequest(c, err.Error())
		}
		if err := a.validate(); err != nil {
			return badRequest(c, err.Error())
		}
		return c.JSON(http.StatusOK, m.Announce(a))
	})
}

func badRequest(c echo.Context, message string) error {
	return c.JSON(http.StatusBadRequest, api.Refuse(http.StatusBadRequest, api.CodeBadRequest, message))
}

// ErrBadAnnouncement is the error for an announcement with missing or invalid fields.
var ErrBadAnnouncement = errors.New("workerlink: bad announcement")

func (a Announcement) validate() error {
	if a.Instance == "" || a.Incarnation == "" || a.Sequence == 0 {
		return errors.Wrap(ErrBadAnnouncement, "instance, incarnation and sequence are required")
	}
	if len(a.Instance) > maxNameBytes || len(a.Incarnation) > maxNameBytes {
		return errors.Wrapf(ErrBadAnnouncement, "instance and incarnation have at most %d bytes", maxNameBytes)
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return errors.Wrap(ErrBadAnnouncement, fmt.Sprintf("address %q", a.Address))
	}
	return nil
}
