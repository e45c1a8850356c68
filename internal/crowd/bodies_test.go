package crowd_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/samphirefork/samphirefork/internal/crowd"
)

// Guards against bodies that take more memory than the entry has, at each path that takes one.
func TestBodies(t *testing.T) {
	body := []byte(`{"x":"` + strings.Repeat("x", bodyBytes-8) + `"}`)
	heads := map[string]string{
		"call":                 head(http.MethodPost, "/v1/call/payments"),
		"jobs":                 head(http.MethodPost, "/v1/queues/q/jobs"),
		"step jobs":            head(http.MethodPost, "/v1/queues/q/step-jobs"),
		"report of a worker":   head(http.MethodPut, "/v1/step-workers/w"),
		"worker's announce":    head(http.MethodPost, "/v1/announce/worker"),
		"backend's announce":   head(http.MethodPost, "/v1/announce/backend"),
		"operator's change":    head(http.MethodPost, "/samphirefork.v1.Operator/Apply"),
		"operator's question":  head(http.MethodPost, "/v1/operator/where"),
		"a path without a use": head(http.MethodPost, "/v1/nothing"),
		"a call without body":  head(http.MethodGet, "/readyz"),
	}
	for name, head := range heads {
		for kind, message := range map[string][]byte{
			"one byte missing": crowd.Declared(head, body, 1), "chunked, one byte missing": crowd.Chunked(head, body, 32<<10, 1),
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				r := start(t)
				r.play(crowd.Crowd{Address: r.entry.Address, Clients: clients, Message: func(int) []byte { return message }})
			})
		}
	}
}
