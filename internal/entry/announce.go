package entry

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/labstack/echo/v4"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/routing"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	maxAnnounceBytes = 64 << 10
	maxNameBytes     = 256
)

// announceReply is the response to the announcement of a backend server.
type announceReply struct {
	// LeaseMS is the time in milliseconds for which the registration is valid. The
	// backend server must announce itself again before it ends.
	LeaseMS int64 `json:"lease_ms"`
	// Entry is the instance name of the entry that answered.
	Entry string `json:"entry"`
}

// handleAnnounceBackend serves POST /v1/announce/backend. It registers the backend
// server and passes the registration on to the other entries of the data centre.
func (e *Entry) handleAnnounceBackend(c echo.Context) error {
	var info wire.BackendInfo
	if refusal := decodeJSON(c, maxAnnounceBytes, &info); refusal != nil {
		return e.respond(c, "", refusalToAnswer(refusal))
	}
	if reason := validateBackend(info); reason != "" {
		return e.respond(c, "", refusalToAnswer(api.Refuse(http.StatusBadRequest, api.CodeBadRequest, reason)))
	}
	accepted := e.sched.registerBackends([]wire.BackendInfo{info})
	if e.onBackendAnnounce != nil && len(accepted) > 0 {
		e.onBackendAnnounce(info.Instance, info.Incarnation, info.Address)
	}
	e.mesh.propagate(context.WithoutCancel(c.Request().Context()), accepted)
	return c.JSON(http.StatusOK, announceReply{LeaseMS: routing.Lease.Milliseconds(), Entry: e.settings.Instance})
}

// OnBackendAnnouncement sets the function that is called with each accepted
// announcement that a backend server sends to this entry itself, as opposed to one
// that another entry passes on. It must be set before Run or Serve.
func (e *Entry) OnBackendAnnouncement(callback func(instance, incarnation, address string)) {
	e.onBackendAnnounce = callback
}

// validateBackend returns the reason why an announcement is invalid, or "" for a
// valid one.
func validateBackend(info wire.BackendInfo) string {
	if info.Instance == "" || info.Incarnation == "" || info.Service == "" {
		return "instance, incarnation and service are required"
	}
	if len(info.Instance) > maxNameBytes || len(info.Incarnation) > maxNameBytes {
		return "instance and incarnation have at most 256 bytes"
	}
	if info.Slots < 1 || info.Connections < 1 {
		return "slots and connections are at least 1"
	}
	if _, err := netip.ParseAddrPort(info.Address); err != nil {
		return "address is not an IP address with a port"
	}
	return ""
}
