package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const validEntry = `{"instance":"e1","data_centre":"dc1","shared_secret":"0123456789abcdef",
"listen":"127.0.0.1:8000","peer_listen":"127.0.0.1:8001","stores":["127.0.0.1:9000"],
"ledgers":{"dc1":"127.0.0.1:9000"},"operator_token":"token"}`

// Invalid settings of an entry must be rejected with an error that names the field.
func TestEntryValidate(t *testing.T) {
	cases := []struct{ old, new, field string }{
		{"", "", ""},
		{`"instance":"e1"`, `"instance":""`, "instance"},
		{`"dc1","shared`, `"","shared`, "data_centre"},
		{"0123456789abcdef", "short", "shared_secret"},
		{"127.0.0.1:8000", "localhost:8000", "listen"},
		{"127.0.0.1:8001", "0.0.0.0:8001", "peer_advertise"},
		{`["127.0.0.1:9000"]`, `[]`, "stores"},
		{`["127.0.0.1:9000"]`, `["x"]`, "stores"},
		{`{"dc1"`, `{"dc2"`, "ledgers"},
		{`"token"`, `""`, "operator_token"},
		{`"token"`, `"token","policies":{"admission":"random"}`, "policies"},
	}
	for _, tc := range cases {
		path := filepath.Join(t.TempDir(), "entry.json")
		require.NoError(t, os.WriteFile(path, []byte(strings.Replace(validEntry, tc.old, tc.new, 1)), 0o644))
		var entry Entry
		require.NoError(t, Load(path, &entry))
		err := entry.Validate(path)
		if tc.field == "" {
			require.NoError(t, err)
			continue
		}
		var rejected *Error
		require.ErrorAs(t, err, &rejected, tc.field)
		require.Equal(t, tc.field, rejected.Field)
		require.Equal(t, path, rejected.File)
	}
}
