package entry

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/stall"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// handleStalled serves GET /v1/stalled: the stalled work of the team of the caller's key.
func (e *Entry) handleStalled(c echo.Context) error {
	team, _, refusal := e.authorize(c.Request().Header.Get(api.HeaderKey))
	if refusal != nil {
		return e.respond(c, "", refusalToAnswer(refusal))
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), proposeTimeout)
	defer cancel()
	msg := wire.StalledRequest{Team: team, Queue: c.QueryParam("queue"), Reason: stall.Reason(c.QueryParam("reason"))}
	var reply wire.StalledReply
	if err := e.leader.Call(ctx, wire.TypeStalled, msg, &reply, 0); err != nil {
		e.log.Warn().Err(err).Str("team", team).Msg("the leader did not return the stalled work")
		return e.respond(c, "", refusalToAnswer(noLeaderRefusal()))
	}
	return c.JSON(http.StatusOK, api.NewStalledList(reply))
}
