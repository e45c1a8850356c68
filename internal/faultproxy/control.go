package faultproxy

import (
	"net"
	"net/http"

	"github.com/labstack/echo/v4"
)

// Listen opens a listener for each link and serves it in the background. It returns a
// function that closes the listeners; established connections stay open. If an address
// cannot be opened, Listen closes the others and returns the error.
func (p *Proxy) Listen(links []Link) (func(), error) {
	var listeners []net.Listener
	closeAll := func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}
	for _, link := range links {
		l, err := net.Listen("tcp", link.Listen)
		if err != nil {
			closeAll()
			return nil, err
		}
		listeners = append(listeners, l)
		go p.Serve(l, link.Target)
	}
	return closeAll, nil
}

// ControlHandler returns the handler of the control interface. PUT /rules with a JSON
// array of Rule replaces all rules and is answered with 204, or with 400 if a rule is
// invalid. GET /healthz is answered with 200.
func (p *Proxy) ControlHandler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.PUT("/rules", func(c echo.Context) error {
		var rules []Rule
		if err := c.Bind(&rules); err != nil {
			return err
		}
		if err := p.SetRules(rules); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		return c.NoContent(http.StatusNoContent)
	})
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	return e
}
