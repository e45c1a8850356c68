package strictjson

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against text that encoding/json would replace, and against the refusal of sound escapes.
func TestUnmarshal(t *testing.T) {
	sound := map[string]string{
		`"plain"`: "plain", `"é"`: "é", `"\u00e9"`: "é", `"\ud83d\ude00"`: "😀", `"\uFFFD"`: "\uFFFD",
		`"\\ud800"`: `\ud800`, `"\\\ud83d\ude00"`: `\😀`, `"\"\u0041"`: `"A`,
	}
	for data, want := range sound {
		var got string
		require.NoError(t, Unmarshal([]byte(data), &got), data)
		require.Equal(t, want, got)
	}
	odd := map[string]int{
		`"\ud800"`: 1, `"a\udc00"`: 2, `"\ud800\ud800"`: 1, `"\ud800x"`: 1, `"\\\ud800\n"`: 3, `"\ud83d\ude00\uDFFF"`: 13,
		"\"a\xff\"": 2, `{"a\ud800":1}`: 3,
	}
	for data, offset := range odd {
		var v any
		var text *TextError
		require.ErrorAs(t, Unmarshal([]byte(data), &v), &text, data)
		require.Equal(t, offset, text.Offset, data)
		require.NotEmpty(t, text.Error())
	}
	var syntax *json.SyntaxError
	for _, data := range []string{`"\`, `"\u12`, `"\ud800`, `"\uzzzz"`} {
		var v any
		require.Error(t, Unmarshal([]byte(data), &v), data)
	}
	require.ErrorAs(t, Unmarshal([]byte(`{`), new(any)), &syntax)
}

// Checks that an accepted string is encoded to the same text that it was decoded from.
func FuzzUnmarshal(f *testing.F) {
	for _, seed := range []string{`"a"`, `"\ud800"`, `"\ud83d\ude00"`, `"\\"`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var first, second string
		if Unmarshal(data, &first) != nil {
			return
		}
		out, err := json.Marshal(first)
		require.NoError(t, err)
		require.NoError(t, Unmarshal(out, &second))
		require.Equal(t, first, second)
	})
}
