package integration

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const goodStore = `{
  "instance": "s1", "data_centre": "dc1", "shared_secret": "a secret of the tests", "id": 1,
  "listen": "127.0.0.1:7000", "data_folder": "FOLDER", "tick": "50ms",
  "members": [{"id": 1, "instance": "s1", "data_centre": "dc1", "address": "127.0.0.1:7000"}]
}`

const goodEntry = `{
  "instance": "e1", "data_centre": "dc1", "shared_secret": "a secret of the tests",
  "listen": "127.0.0.1:8080", "peer_listen": "127.0.0.1:7001", "stores": ["127.0.0.1:7000"],
  "ledgers": {"dc1": "127.0.0.1:7000"}, "operator_token": "token"
}`

// Guards against processes that start with settings which do not mean what
// their author thinks, and against rejections that do not say where.
func TestRefusedSettings(t *testing.T) {
	tests := []struct {
		name, binary, settings, old, with, want string
	}{
		{"unknown field", "samphire-store", goodStore, `"tick"`, `"tock"`, "tock"},
		{"duration without unit", "samphire-store", goodStore, `"50ms"`, `50`, "unit"},
		{"unknown unit", "samphire-store", goodStore, `"50ms"`, `"50"`, "unit"},
		{"host name", "samphire-store", goodStore, `"listen": "127.0.0.1:7000"`, `"listen": "store:7000"`, "listen"},
		{"folder is a file", "samphire-store", goodStore, "FOLDER", "FOLDER/settings.json", "data_folder"},
		{"folder without a log", "samphire-store", goodStore, "FOLDER", "FOLDER/empty", "data_folder"},
		{"member listed twice", "samphire-store", goodStore, `"members": [`, `"members": [{"id": 1, "address": "127.0.0.1:1"}, `, "members[1].id"},
		{"truncated", "samphire-store", goodStore, `"members"`, `"mem`, "settings.json"},
		{"short secret", "samphire-entry", goodEntry, "a secret of the tests", "short", "shared_secret"},
		{"no ledger", "samphire-entry", goodEntry, `{"dc1"`, `{"dc2"`, "ledgers"},
		{"no token", "samphire-entry", goodEntry, `"token"`, `""`, "operator_token"},
		{"wrong type", "samphire-entry", goodEntry, `["127.0.0.1:7000"]`, `7000`, "stores"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			dir := t.TempDir()
			text := strings.Replace(tt.settings, tt.old, tt.with, 1)
			text = strings.ReplaceAll(text, "FOLDER", dir)
			path := filepath.Join(dir, "settings.json")
			require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
			out, err := exec.Command(filepath.Join(binFolder, tt.binary), "-config", path).CombinedOutput()
			var exit *exec.ExitError
			require.ErrorAs(t, err, &exit, "%s", out)
			require.Positive(t, exit.ExitCode())
			require.Contains(t, string(out), tt.want)
			require.Contains(t, string(out), path)
		})
	}
}
