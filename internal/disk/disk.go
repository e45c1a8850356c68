// Package disk is the port to the file system for everything that must be
// durable, so that tests can inject failing writes and syncs.
package disk

import (
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/pkg/errors"
)

// ErrLocked is returned when another process holds the data folder.
var ErrLocked = errors.New("disk: another process uses the data folder")

// File is an open file that is written sequentially.
type File interface {
	Write(p []byte) (int, error)
	Sync() error
	Close() error
}

// FS is the file access of one data folder. Names are paths.
type FS interface {
	MkdirAll(path string) error
	// Create makes a new, empty file.
	Create(path string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(path string) (File, error)
	ReadFile(path string) ([]byte, error)
	// List lists the entries of a folder in order.
	List(path string) ([]string, error)
	Truncate(path string, size int64) error
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder makes created, renamed and removed names durable.
	SyncFolder(path string) error
}

const (
	folderMode = 0o750
	fileMode   = 0o640
)

// OS is the FS of the operating system.
type OS struct{}

// MkdirAll implements FS.
func (OS) MkdirAll(path string) error { return os.MkdirAll(path, folderMode) }

// Create implements FS.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Append implements FS.
func (OS) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_APPEND|os.O_WRONLY, fileMode)
}

// ReadFile implements FS.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// List implements FS.
func (OS) List(path string) ([]string, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	slices.Sort(names)
	return names, nil
}

// Truncate implements FS.
func (OS) Truncate(path string, size int64) error {
	f, err := os.OpenFile(path, os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.Truncate(size); err != nil {
		return err
	}
	return f.Sync()
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncFolder implements FS.
func (OS) SyncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Lock is the exclusive right to a data folder.
type Lock struct{ f *os.File }

// LockFolder takes the lock of a folder; ErrLocked when another process has it.
func LockFolder(path string) (*Lock, error) {
	f, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "disk: lock file")
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, errors.Wrap(err, "disk: lock")
	}
	return &Lock{f: f}, nil
}

// Release gives the lock back.
func (l *Lock) Release() { _ = l.f.Close() }
