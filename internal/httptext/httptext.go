// Package httptext checks the text in HTTP requests. Package net/http accepts any bytes in
// escaped paths, queries and headers, but names travel between our processes, and are stored,
// as UTF-8.
package httptext

import (
	"net/http"
	"net/url"
	"unicode/utf8"

	"github.com/labstack/echo/v4"
)

// Error reports a part of a request that is not UTF-8 and can't be used. The request was not
// handled.
type Error struct {
	// Part is "host", "path", "query" or the name of a header.
	Part string
}

// Error implements error.
func (e *Error) Error() string { return "httptext: " + e.Part + ": is not UTF-8" }

// Check returns an *Error if the host, the path, the query or one of the named headers is not
// UTF-8.
func Check(r *http.Request, headers ...string) error {
	// Package net/http checks the Host header, but not the host of a request for a whole URL.
	if !utf8.ValidString(r.Host) {
		return &Error{Part: "host"}
	}
	if !utf8.ValidString(r.URL.Path) {
		return &Error{Part: "path"}
	}
	// Of a malformed query, the handlers use the parameters that can be decoded.
	parameters, _ := url.ParseQuery(r.URL.RawQuery)
	for name, values := range parameters {
		for _, text := range append(values, name) {
			if !utf8.ValidString(text) {
				return &Error{Part: "query"}
			}
		}
	}
	for _, header := range headers {
		for _, text := range r.Header.Values(header) {
			if !utf8.ValidString(text) {
				return &Error{Part: header}
			}
		}
	}
	return nil
}

// Require returns a middleware that passes on the requests that Check accepts, and answers the
// others with refuse.
func Require(refuse func(c echo.Context, err error) error, headers ...string) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			if err := Check(c.Request(), headers...); err != nil {
				return refuse(c, err)
			}
			return next(c)
		}
	}
}
