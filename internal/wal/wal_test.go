package wal

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirefork/samphirefork/internal/disk"
	"github.com/samphirefork/samphirefork/internal/raft"
)

var errSync = errors.New("sync failed")

// faultFS injects failures. After room more bytes the disk is full: a write stores only
// what fits, and returns ENOSPC, or no error if short is set. With failSync each sync
// fails.
type faultFS struct {
	disk.OS
	room     int
	short    bool
	failSync bool
}

type faultFile struct {
	disk.File
	fs *faultFS
}

func (f *faultFS) Create(path string) (disk.File, error) {
	file, err := f.OS.Create(path)
	return &faultFile{File: file, fs: f}, err
}

func (f *faultFile) Write(p []byte) (int, error) {
	if len(p) <= f.fs.room {
		f.fs.room -= len(p)
		return f.File.Write(p)
	}
	n, _ := f.File.Write(p[:f.fs.room])
	f.fs.room = 0
	if f.fs.short {
		return n, nil
	}
	return n, syscall.ENOSPC
}

func (f *faultFile) Sync() error {
	if f.fs.failSync {
		return errSync
	}
	return f.File.Sync()
}

// syncFS records how many bytes of each file, and which names of the folder, are durable.
type syncFS struct {
	faultFS
	written, durable map[string]int
	names            map[string]bool
}

type syncFile struct {
	disk.File
	fs   *syncFS
	path string
}

func newSyncFS() *syncFS {
	return &syncFS{faultFS: faultFS{room: 1 << 20}, written: map[string]int{}, durable: map[string]int{}, names: map[string]bool{}}
}

func (f *syncFS) Create(path string) (disk.File, error) {
	file, err := f.faultFS.Create(path)
	f.written[path] = 0
	return &syncFile{file, f, path}, err
}

func (f *syncFS) Append(path string) (disk.File, error) {
	file, err := f.OS.Append(path)
	return &syncFile{&faultFile{file, &f.faultFS}, f, path}, err
}

func (f *syncFS) SyncFolder(path string) error {
	for name := range f.written {
		f.names[name] = true
	}
	return f.OS.SyncFolder(path)
}

func (f *syncFile) Write(p []byte) (int, error) {
	n, err := f.File.Write(p)
	f.fs.written[f.path] += n
	return n, err
}

func (f *syncFile) Sync() error {
	err := f.File.Sync()
	if err == nil {
		f.fs.durable[f.path] = f.fs.written[f.path]
	}
	return err
}

func entry(index, term uint64) raft.Entry {
	return raft.Entry{Index: index, Term: term, Kind: raft.EntryCommand, Data: []byte("command")}
}

func entries(first, last, term uint64) []raft.Entry {
	var out []raft.Entry
	for i := first; i <= last; i++ {
		out = append(out, entry(i, term))
	}
	return out
}

func startLog(t require.TestingT, folder string, opts Options) *Log {
	l, contents, err := Open(folder, opts)
	require.NoError(t, err)
	require.True(t, contents.Empty())
	require.NoError(t, l.Init(Meta{MemberID: 3}, raft.Position{Members: []raft.Member{{ID: 3}}}))
	return l
}

func reopenLog(t require.TestingT, folder string, opts Options) (*Log, Contents) {
	l, contents, err := Open(folder, opts)
	require.NoError(t, err)
	return l, contents
}

func newestSegment(t *testing.T, folder string) string {
	names, err := disk.OS{}.List(folder)
	require.NoError(t, err)
	return filepath.Join(folder, names[len(names)-1])
}

// Guards against lost, reordered or stale entries after a log is reopened, with several
// segments, replaced suffixes, restarts from a snapshot and trimming.
func TestContentsSurviveReopening(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder, err := os.MkdirTemp("", "wal")
		require.NoError(t, err)
		defer os.RemoveAll(folder)
		opts := Options{FS: disk.OS{}, SegmentBytes: rapid.IntRange(50, 400).Draw(t, "segment")}
		l := startLog(t, folder, opts)
		want := Contents{Base: raft.Position{Members: []raft.Member{{ID: 3}}}}
		trimmed := uint64(0)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			last := want.Base.Index + uint64(len(want.Entries))
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				require.NoError(t, l.Close())
				l, _ = reopenLog(t, folder, opts)
			case 1:
				base := raft.Position{Index: last + 5, Term: 9}
				want.Base, want.Entries = base, nil
				require.NoError(t, l.Append(Batch{Base: &base}))
			case 2:
				trimmed = max(trimmed, rapid.Uint64Range(want.Base.Index, last).Draw(t, "trim"))
				require.NoError(t, l.Trim(trimmed))
			default:
				from := rapid.Uint64Range(max(trimmed, want.Base.Index)+1, max(last, trimmed)+1).Draw(t, "from")
				want.HardState.Term++
				batch := entries(from, from+rapid.Uint64Range(0, 3).Draw(t, "more"), want.HardState.Term)
				want.Entries = append(want.Entries[:from-want.Base.Index-1], batch...)
				hard := want.HardState
				require.NoError(t, l.Append(Batch{HardState: &hard, Entries: batch}))
			}
		}
		require.NoError(t, l.Close())
		_, got := reopenLog(t, folder, opts)
		require.Equal(t, uint64(3), got.Meta.MemberID)
		require.Equal(t, want.HardState, got.HardState)
		require.Equal(t, want.Base, got.Base)
		missing := len(want.Entries) - len(got.Entries)
		require.GreaterOrEqual(t, missing, 0)
		require.LessOrEqual(t, want.Base.Index+uint64(missing), max(trimmed, want.Base.Index))
		require.Equal(t, append([]raft.Entry{}, want.Entries[missing:]...), append([]raft.Entry{}, got.Entries...))
	})
}

// Guards against a torn last batch of any length that keeps the log from opening, loses
// entries of earlier batches, or is accepted as complete.
func TestTornTailIsCut(t *testing.T) {
	folder := t.TempDir()
	l := startLog(t, folder, Options{FS: disk.OS{}})
	require.NoError(t, l.Append(Batch{Entries: entries(1, 2, 1)}))
	path := newestSegment(t, folder)
	intact := l.size
	require.NoError(t, l.Append(Batch{Entries: entries(3, 4, 1)}))
	require.NoError(t, l.Close())
	whole, err := os.ReadFile(path)
	require.NoError(t, err)
	for size := intact; size < len(whole); size++ {
		require.NoError(t, os.WriteFile(path, whole[:size], 0o600))
		l, got := reopenLog(t, folder, Options{FS: disk.OS{}})
		require.GreaterOrEqual(t, len(got.Entries), 2)
		require.Less(t, len(got.Entries), 4)
		require.NoError(t, l.Append(Batch{Entries: entries(uint64(len(got.Entries)+1), 9, 2)}))
		require.NoError(t, l.Close())
		_, got = reopenLog(t, folder, Options{FS: disk.OS{}})
		require.Len(t, got.Entries, 9)
	}
	whole[intact+2] ^= 1
	require.NoError(t, os.WriteFile(path, whole, 0o600))
	_, got := reopenLog(t, folder, Options{FS: disk.OS{}})
	require.Len(t, got.Entries, 2, "a batch whose first part is lost is cut as a whole")
}

// Guards against damage to an earlier batch that is treated as a torn last batch, which
// would silently discard acknowledged entries.
func TestFlippedByteIsCorrupt(t *testing.T) {
	folder := t.TempDir()
	l := startLog(t, folder, Options{FS: disk.OS{}})
	for i := uint64(1); i <= 4; i++ {
		require.NoError(t, l.Append(Batch{Entries: entries(i, i, 1)}))
	}
	synced := l.size
	require.NoError(t, l.Append(Batch{Entries: entries(5, 5, 1)}))
	require.NoError(t, l.Close())
	path := newestSegment(t, folder)
	whole, err := os.ReadFile(path)
	require.NoError(t, err)
	for at := range synced {
		damaged := append([]byte{}, whole...)
		damaged[at] ^= 0x10
		require.NoError(t, os.WriteFile(path, damaged, 0o600))
		_, _, err := Open(folder, Options{FS: disk.OS{}})
		var corrupt *ErrCorrupt
		require.ErrorAs(t, err, &corrupt, "byte %d", at)
		require.Equal(t, path, corrupt.File)
		require.LessOrEqual(t, corrupt.Offset, int64(at))
	}
}

// Guards against a log that accepts operations after a full disk, a short write or a
// failed sync, when the contents of the file are unknown.
func TestFailuresAreFinal(t *testing.T) {
	cases := map[string]func(*faultFS){
		"full disk":   func(f *faultFS) { f.room = 20 },
		"short write": func(f *faultFS) { f.room, f.short = 20, true },
		"failed sync": func(f *faultFS) { f.failSync = true },
	}
	for name, inject := range cases {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			fs := &faultFS{room: 1 << 20}
			l := startLog(t, folder, Options{FS: fs})
			require.NoError(t, l.Append(Batch{Entries: entries(1, 2, 1)}))
			inject(fs)
			require.Error(t, l.Append(Batch{Entries: entries(3, 3, 1)}))
			fs.room, fs.short, fs.failSync = 1<<20, false, false
			require.ErrorIs(t, l.Append(Batch{Entries: entries(3, 3, 1)}), ErrFailed)
			require.ErrorIs(t, l.Trim(2), ErrFailed)
			_ = l.Close()
			_, got := reopenLog(t, folder, Options{FS: disk.OS{}})
			require.GreaterOrEqual(t, len(got.Entries), 2)
		})
	}
}

// Guards against entries and votes that are acknowledged after a restart and lost with the
// power: the process that wrote them ended before its sync.
func TestOpenedContentsAreDurable(t *testing.T) {
	folder, fs := t.TempDir(), newSyncFS()
	l := startLog(t, folder, Options{FS: fs})
	require.NoError(t, l.Append(Batch{Entries: entries(1, 2, 1)}))
	fs.failSync = true
	require.ErrorIs(t, l.Append(Batch{Entries: entries(3, 3, 1), HardState: &raft.HardState{Term: 2, Vote: 3}}), errSync)
	_ = l.Close()
	_, _, err := Open(folder, Options{FS: fs})
	require.ErrorIs(t, err, errSync, "what can't be made durable is not returned")
	fs.failSync, fs.names = false, map[string]bool{}
	l, got := reopenLog(t, folder, Options{FS: fs})
	require.Len(t, got.Entries, 3)
	require.Equal(t, raft.HardState{Term: 2, Vote: 3}, got.HardState)
	path := newestSegment(t, folder)
	require.Equal(t, fs.written[path], fs.durable[path])
	require.True(t, fs.names[path], "the name of the segment")
	require.NoError(t, l.Close())
}

// Guards against a panic or an unbounded allocation on a damaged file.
func FuzzReadRecord(f *testing.F) {
	f.Add(appendRecord(nil, 0, kindEntry, []byte("payload")))
	f.Fuzz(func(_ *testing.T, data []byte) {
		if _, _, ok := readRecord(data, 0); !ok {
			isTornTail(data, 0)
		}
	})
}
