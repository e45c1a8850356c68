package ctl

import (
	"bytes"
	"compress/gzip"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
)

// The timeline of a job must show the lines about the job, its lost worker and the
// leader in order of time. The logs contain lines with a prefix and truncated lines;
// gzip files, complete and truncated, must be read too.
func TestExplain(t *testing.T) {
	te := newTestEnv(t)
	entry, store := "testdata/logs/entry.jsonl", "testdata/logs/store.jsonl"
	r := te.ok(t, "explain", "00000000000000aa", entry, store)
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "explain", []byte(r.stdout+r.stderr))

	plain, err := os.ReadFile(store)
	require.NoError(t, err)
	var compressed bytes.Buffer
	zip := gzip.NewWriter(&compressed)
	_, err = zip.Write(plain)
	require.NoError(t, err)
	require.NoError(t, zip.Close())
	file := filepath.Join(t.TempDir(), "store.gz")
	require.NoError(t, os.WriteFile(file, compressed.Bytes(), 0o600))
	require.Equal(t, r.stdout, te.ok(t, "explain", "00000000000000aa", entry, file).stdout)
	require.NoError(t, os.WriteFile(file, compressed.Bytes()[:compressed.Len()-20], 0o600))
	require.Contains(t, te.ok(t, "explain", "00000000000000aa", entry, file).stdout, "job submitted")

	require.Equal(t, ExitRefused, te.run(t, "explain", "00000000000000cc", entry).exit)
	require.Equal(t, ExitUsage, te.run(t, "explain", "00000000000000aa").exit)
	require.Equal(t, ExitRefused, te.run(t, "explain", "00000000000000aa", "testdata/logs/none").exit)
}
