package httptext

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against requests whose text can't be stored being passed on to handlers, and against
// the refusal of those that only have other headers with such bytes.
func TestCheck(t *testing.T) {
	cases := map[string]struct{ target, header, value, part string }{
		"plain":                 {target: "/a/b?c=d"},
		"letters of a language": {target: "/%C3%A9?c=%C3%A9", header: "Key", value: "\u00e9"},
		"host":                  {target: "http://h\xff/a", part: "host"},
		"path":                  {target: "/a%FF", part: "path"},
		"value of a query":      {target: "/a?c=%FF", part: "query"},
		"name in a query":       {target: "/a?%FF=c", part: "query"},
		"header":                {target: "/a", header: "Key", value: "k\xff", part: "Key"},
		"header that is unused": {target: "/a", header: "User-Agent", value: "\xe9"},
	}
	for name, tt := range cases {
		r := httptest.NewRequest(http.MethodGet, tt.target, nil)
		if tt.header != "" {
			r.Header.Set(tt.header, tt.value)
		}
		err := Check(r, "Key")
		if tt.part == "" {
			require.NoError(t, err, name)
			continue
		}
		var rejected *Error
		require.ErrorAs(t, err, &rejected, name)
		require.Equal(t, tt.part, rejected.Part, name)
	}
}
