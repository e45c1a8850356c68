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

// Guards the way from an identifier to its cause: the lines of the job, of the worker
// that it lost and of the leader, in order, from logs with a prefix, with lines that
// are cut off, and compressed ones that are.
func TestExplain(t *testing.T) {
	b := newBench(t)
	entry, store := "testdata/logs/entry.jsonl", "testdata/logs/store.jsonl"
	r := b.ok(t, "explain", "00000000000000aa", entry, store)
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "explain", []byte(r.stdout+r.stderr))

	plain, err := os.ReadFile(store)
	require.NoError(t, err)
	var packed bytes.Buffer
	zip := gzip.NewWriter(&packed)
	_, err = zip.Write(plain)
	require.NoError(t, err)
	require.NoError(t, zip.Close())
	file := filepath.Join(t.TempDir(), "store.gz")
	require.NoError(t, os.WriteFile(file, packed.Bytes(), 0o600))
	require.Equal(t, r.stdout, b.ok(t, "explain", "00000000000000aa", entry, file).stdout)
	require.NoError(t, os.WriteFile(file, packed.Bytes()[:packed.Len()-20], 0o600))
	require.Contains(t, b.ok(t, "explain", "00000000000000aa", entry, file).stdout, "job submitted")

	require.Equal(t, ExitRefused, b.run(t, "explain", "00000000000000cc", entry).exit)
	require.Equal(t, ExitUsage, b.run(t, "explain", "00000000000000aa").exit)
	require.Equal(t, ExitRefused, b.run(t, "explain", "00000000000000aa", "testdata/logs/none").exit)
}
