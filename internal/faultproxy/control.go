package faultproxy

import (
	"net"
	"net/http"

	"github.com/labstack/echo/v4"
)

// Listen opens all links of the configuration and returns a function that closes them.
func (p *Proxy) Listen(links []Link) (func(), error) {
	var open []net.Listener
	closeAll := func() {
		for _, l := range open {
			_ = l.Close()
		}
	}
	for _, link := range links {
		l, err := net.Listen("tcp", link.Listen)
		if err != nil {
			closeAll()
			return nil, err
		}
		open = append(open, l)
		go p.Serve(l, link.Target)
	}
	return closeAll, nil
}

// ControlHandler returns the HTTP interface that replaces the rules: PUT /rules with a
// JSON array of Rule.
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
