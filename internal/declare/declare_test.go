package declare

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const baseDeclarations = `[
 {"kind":"data_centre","name":"dc1"},
 {"kind":"pool","name":"p","max_unavailable":1},
 {"kind":"pool","name":"q","max_unavailable":1}
]`

func load(t *testing.T, content string) error {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "a.json"), []byte(baseDeclarations), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "b.json"), []byte(content), 0o600))
	_, err := Load(dir)
	return err
}

// Invalid declarations must be rejected with the file, line and field of the error.
func TestBadDeclarationsNameFileLineAndField(t *testing.T) {
	const inst = `{"kind":"instance","name":"i","pool":"p","data_centre":"dc1","role":"worker"}`
	cases := []struct {
		name, content, field, reason string
		line                         int
	}{
		{"unknown field", "{\"kind\":\"team\",\"name\":\"t\",\"share\":1,\n\"limit\":1,\"shares\":2}", "shares", "unknown field", 2},
		{"field in other case", `{"kind":"team","name":"t","share":1,"limit":1,"Limit":2}`, "Limit", "unknown field", 1},
		{"wrong type", "{\"kind\":\"team\",\"name\":\"t\",\n\"share\":\"1\",\"limit\":1}", "share", "expected a whole number", 2},
		{"fraction", `{"kind":"team","name":"t","share":1.5,"limit":1}`, "share", "expected a whole number", 1},
		{"null", `{"kind":"team","name":"t","share":1,"limit":null}`, "limit", "expected a whole number", 1},
		{"name of wrong type", `{"kind":"team","name":7,"share":1,"limit":1}`, "name", "expected a string", 1},
		{"truncated", "{\"kind\":\"team\",\n\"name\":\"t\",", "", "truncated", 2},
		{"empty", "", "", "empty", 1},
		{"not JSON", "{\"kind\":\n team}", "", "not JSON", 2},
		{"data after", "{\"kind\":\"data_centre\",\"name\":\"d\"}\n{}", "", "data after", 2},
		{"element of wrong type", "[\n3]", "", "expected an object", 2},
		{"negative share", `{"kind":"team","name":"t","share":-1,"limit":1}`, "share", "not between", 1},
		{"limit below zero", `{"kind":"team","name":"t","share":1,"limit":-1}`, "limit", "not between", 1},
		{"missing field", `{"kind":"team","name":"t","share":1}`, "limit", "missing", 1},
		{"missing kind", `{"name":"t"}`, "kind", "missing", 1},
		{"unknown kind", `{"kind":"key","name":"t"}`, "kind", "unknown kind", 1},
		{"field twice", `{"kind":"team","name":"t","share":1,"share":2,"limit":1}`, "share", "twice", 1},
		{"missing pool", `{"kind":"service","name":"s","pool":"none","timeout_ms":5}`, "pool", "is not declared", 1},
		{"missing data centre", `{"kind":"instance","name":"i","pool":"p","data_centre":"dc2","role":"worker"}`, "data_centre", "is not declared", 1},
		{"two pools", "[" + inst + ",\n" + `{"kind":"instance","name":"i","pool":"q","data_centre":"dc1","role":"worker"}]`, "pool", "one pool", 2},
		{"declared twice", "[" + inst + ",\n" + inst + "]", "name", "already declared", 2},
		{"name in two files", `{"kind":"pool","name":"p","max_unavailable":2}`, "name", "a.json:3", 1},
		{"role", `{"kind":"instance","name":"i","pool":"p","data_centre":"dc1","role":"minion"}`, "role", "not one of", 1},
		{"class", `{"kind":"queue","name":"u","pool":"p","class":"fast","max_queued_per_team":1}`, "class", "not one of", 1},
		{"partition policy", `{"kind":"queue","name":"u","pool":"p","class":"watch","max_queued_per_team":1,"on_partition":"go"}`, "on_partition", "not one of", 1},
		{"timeout", `{"kind":"service","name":"s","pool":"p","timeout_ms":10001}`, "timeout_ms", "not between", 1},
		{"name", `{"kind":"team","name":"a b","share":1,"limit":1}`, "name", "not a name", 1},
		{"data centre with dot", `{"kind":"data_centre","name":"a.b"}`, "name", "not a data centre name", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := load(t, c.content)
			var errs Errors
			require.ErrorAs(t, err, &errs)
			require.Len(t, errs, 1, "%v", err)
			require.Equal(t, "b.json", filepath.Base(errs[0].File))
			require.Equal(t, c.line, errs[0].Line)
			require.Equal(t, c.field, errs[0].Field)
			require.Contains(t, errs[0].Reason, c.reason)
		})
	}
}

// All errors must be reported at once, so that an operator need not correct one at a
// time.
func TestAllErrorsAreReported(t *testing.T) {
	err := load(t, `[{"kind":"team","name":"t","share":0,"limit":-1},
{"kind":"queue","name":"u","pool":"none","class":"x","max_queued_per_team":1}]`)
	var errs Errors
	require.ErrorAs(t, err, &errs)
	var fields []string
	for _, f := range errs {
		fields = append(fields, f.Field)
	}
	require.Equal(t, []string{"limit", "share", "class", "pool"}, fields)
}

// A folder without declarations must be an error. Taken as an empty fleet, it would
// make apply delete everything.
func TestFolderWithoutDeclarationsIsRefused(t *testing.T) {
	_, err := Load(t.TempDir())
	require.ErrorIs(t, err, ErrNoDeclarations)
	_, err = FleetPaths(t.TempDir())
	require.ErrorIs(t, err, ErrNoDeclarations)
}

// Decode must not panic on arbitrary input, and must not accept out-of-range values.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(baseDeclarations))
	f.Add([]byte(`{"kind":"team","name":"t","share":1,"limit":null}`))
	f.Add([]byte(`[[{}],{"kind":[]},{"kind":"pool","name":"p","name":"q"}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg, err := Decode("fuzz.json", data)
		if err != nil {
			return
		}
		for name, team := range cfg.Teams {
			if team.Name != name || team.Share < 1 || team.Limit < 0 {
				t.Fatalf("accepted %+v", team)
			}
		}
	})
}
