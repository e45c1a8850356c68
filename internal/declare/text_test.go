package declare

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against two names of a declaration that become one, because the decoder of JSON replaces
// half a UTF-16 pair.
func TestTextThatCannotBeStoredIsRefused(t *testing.T) {
	for _, name := range []string{`a\ud800`, "a\xff"} {
		_, errs := parseFile("f.json", []byte("{\"kind\":\"queue\",\n\"name\":\""+name+"\"}"))
		require.Len(t, errs, 1)
		require.Equal(t, 2, errs[0].Line)
		require.Equal(t, "f.json", errs[0].File)
	}
}
