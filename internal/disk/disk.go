// Package disk provides file access for durable data, behind an interface that lets
// tests inject failing writes and syncs.
package disk

import (
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/pkg/errors"
)

// ErrLocked is returned by LockFolder when another process has locked the data folder.
var ErrLocked = errors.New("disk: another process uses the data folder")

// File is a file that is open for sequential writes. Data is durable only after Sync.
type File interface {
	Write(p []byte) (int, error)
	Sync() error
	Close() error
}

// FS is the set of file operations used for a data folder. Paths include that of the
// data folder.
type FS interface {
	// MkdirAll creates a folder and its missing parents.
	MkdirAll(path string) error
	// Create creates an empty file or truncates an existing one.
	Create(path string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(path string) (File, error)
	ReadFile(path string) ([]byte, error)
	// List returns the names of the entries of a folder, sorted.
	List(path string) ([]string, error)
	// Truncate durably sets the size of a file, in bytes.
	Truncate(path string, size int64) error
	Rename(from, to string) error
	Remove(path string) error
	// RemoveAll removes a file, or a folder with its contents, if it exists. A crash may
	// leave any part of the contents.
	RemoveAll(path string) error
	// SyncFolder makes the creation, renaming and removal of entries of a folder
	// durable.
	SyncFolder(path string) error
}

const (
	folderMode = 0o750
	fileMode   = 0o640
)

// OS implements FS with the file system of the operating system. New folders have mode
// 0750 and new files 0640, before the umask.
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

// RemoveAll implements FS.
func (OS) RemoveAll(path string) error { return os.RemoveAll(path) }

// SyncFolder implements FS.
func (OS) SyncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Lock is an exclusive lock on a data folder. It also ends with the process.
type Lock struct{ f *os.File }

// LockFolder locks a folder without waiting, by an flock on the file named lock in it,
// which it creates if needed. It returns ErrLocked if the lock is held already.
func LockFolder(path string) (*Lock, error) {
	f, err := os.OpenFile(filepath.Join(path, "lock"), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, errors.Wrap(err, "disk: open lock file")
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrLocked
		}
		return nil, errors.Wrap(err, "disk: lock data folder")
	}
	return &Lock{f: f}, nil
}

// Release releases the lock. The lock file remains.
func (l *Lock) Release() { _ = l.f.Close() }
