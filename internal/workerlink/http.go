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

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// AnnouncePath is the path at which an entry takes announcements of workers.
const AnnouncePath = "/v1/announce/worker"

// maxAnnouncementBytes has room for all results that the state keeps, in base64.
const maxAnnouncementBytes = 2 * fleet.MaxRetainedBytes

const maxNameBytes = 256

// TaskOrder is the body of a request to a worker.
type TaskOrder struct {
	Incarnation string                `json:"incarnation"`
	Attempt     int                   `json:"attempt,omitempty"`
	Spec        *fleet.JobSpec        `json:"spec,omitempty"`
	OnPartition fleet.PartitionPolicy `json:"on_partition,omitempty"`
}

// HTTPOrderSender carries out orders by HTTP requests to workers.
type HTTPOrderSender struct {
	Client *http.Client
}

// Send implements Driver. A worker's refusal is ErrRefused.
func (d HTTPOrderSender) Send(ctx context.Context, address string, order wire.Order) error {
	body, err := json.Marshal(TaskOrder{
		Incarnation: order.Incarnation,
		Attempt:     order.Task.Attempt,
		Spec:        order.Spec,
		OnPartition: order.OnPartition,
	})
	if err != nil {
		return errors.Wrap(err, "workerlink: encode order")
	}
	method, path := request(order)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "workerlink: order")
	}
	req.Header.Set(api.HeaderContentType, echo.MIMEApplicationJSON)
	resp, err := d.Client.Do(req)
	if err != nil {
		return errors.Wrap(err, "workerlink: order")
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnnouncementBytes))
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Wrapf(ErrRefused, "status %d", resp.StatusCode)
	}
	return nil
}

func request(order wire.Order) (method, path string) {
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

// Mount adds the announcement handler to the entry's HTTP server.
func (m *Manager) Mount(e *echo.Echo) {
	e.POST(AnnouncePath, func(c echo.Context) error {
		var a Announcement
		body := http.MaxBytesReader(c.Response(), c.Request().Body, maxAnnouncementBytes)
		if err := json.NewDecoder(body).Decode(&a); err != nil {
			return refuse(c, err.Error())
		}
		if err := a.validate(); err != nil {
			return refuse(c, err.Error())
		}
		return c.JSON(http.StatusOK, m.Announce(a))
	})
}

func refuse(c echo.Context, message string) error {
	return c.JSON(http.StatusBadRequest, api.Refuse(http.StatusBadRequest, api.CodeBadRequest, message))
}

// ErrBadAnnouncement is returned for an announcement that lacks what the leader needs.
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
