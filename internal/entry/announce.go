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

// announceReply answers a backend server's announcement.
type announceReply struct {
	LeaseMS int64 `json:"lease_ms"`
	// Entry names the entry that answered.
	Entry string `json:"entry"`
}

// handleAnnounceBackend serves POST /v1/announce/backend.
func (e *Entry) handleAnnounceBackend(c echo.Context) error {
	var info wire.BackendInfo
	if refusal := decodeJSON(c, maxAnnounceBytes, &info); refusal != nil {
		return e.respond(c, "", asAnswer(refusal))
	}
	if reason := checkBackend(info); reason != "" {
		return e.respond(c, "", asAnswer(api.Refuse(http.StatusBadRequest, api.CodeBadRequest, reason)))
	}
	news := e.sched.announce([]wire.BackendInfo{info})
	if e.backendHeard != nil && len(news) > 0 {
		e.backendHeard(info.Instance, info.Incarnation, info.Address)
	}
	e.mesh.pass(context.WithoutCancel(c.Request().Context()), news)
	return c.JSON(http.StatusOK, announceReply{LeaseMS: routing.Lease.Milliseconds(), Entry: e.set.Instance})
}

// OnBackendAnnouncement sets what is called with each announcement of a backend server that
// this entry hears itself. It is to be set before Run.
func (e *Entry) OnBackendAnnouncement(heard func(instance, incarnation, address string)) {
	e.backendHeard = heard
}

// checkBackend returns the reason why an announcement is invalid, or "".
func checkBackend(info wire.BackendInfo) string {
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
