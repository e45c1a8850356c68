// Package snap stores snapshots as files. A snapshot is written to a temporary file,
// synced and renamed, and is verified by its CRC when it is read. The newest two are
// kept, so that the older one can be used if the newer one is damaged.
package snap

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/disk"
	"github.com/samphirefork/samphirefork/internal/raft"
)

const (
	suffix        = ".snap"
	tempSuffix    = ".tmp"
	keptSnapshots = 2
	crcBytes      = 4
)

// ErrCorrupt reports a snapshot file that is too short, fails its CRC or cannot be
// decoded.
type ErrCorrupt struct {
	File   string
	Reason string
}

// Error implements error.
func (e *ErrCorrupt) Error() string { return "snap: " + e.File + " is corrupt: " + e.Reason }

// Folder is a folder with the snapshot files of one store. It is not safe for
// concurrent use.
type Folder struct {
	path string
	fs   disk.FS
}

// Open opens an existing folder of snapshots and removes the temporary files of snapshots that
// were not completed. The names of the others are durable when it returns: the process that
// wrote the last one may have ended before it synced the folder, and the log may be cut at it.
func Open(fs disk.FS, path string) (*Folder, error) {
	f := &Folder{path: path, fs: fs}
	names, err := fs.List(path)
	if err != nil {
		return nil, errors.Wrap(err, "snap: list")
	}
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			if err := fs.Remove(filepath.Join(path, name)); err != nil {
				return nil, errors.Wrap(err, "snap: remove unfinished file")
			}
		}
	}
	return f, errors.Wrap(fs.SyncFolder(path), "snap: sync folder")
}

type content struct {
	Position raft.Position `cbor:"1,keyasint"`
	Data     []byte        `cbor:"2,keyasint"`
}

// Encode returns the contents of a snapshot file: a big-endian CRC-32C (4 bytes) of the
// rest, which is the snapshot in CBOR.
func Encode(s raft.Snapshot) ([]byte, error) {
	payload, err := cbor.Marshal(content{Position: s.Position, Data: s.Data})
	if err != nil {
		return nil, errors.Wrap(err, "snap: encode snapshot")
	}
	crc := crc32.Checksum(payload, crc32.MakeTable(crc32.Castagnoli))
	return append(binary.BigEndian.AppendUint32(nil, crc), payload...), nil
}

// Decode verifies and decodes the contents of a snapshot file. It returns an ErrCorrupt,
// which names the file, if they are damaged.
func Decode(file string, data []byte) (raft.Snapshot, error) {
	if len(data) < crcBytes {
		return raft.Snapshot{}, &ErrCorrupt{File: file, Reason: "file is shorter than its CRC"}
	}
	payload := data[crcBytes:]
	if crc32.Checksum(payload, crc32.MakeTable(crc32.Castagnoli)) != binary.BigEndian.Uint32(data) {
		return raft.Snapshot{}, &ErrCorrupt{File: file, Reason: "CRC does not match the contents"}
	}
	var c content
	if err := cbor.Unmarshal(payload, &c); err != nil {
		return raft.Snapshot{}, &ErrCorrupt{File: file, Reason: err.Error()}
	}
	return raft.Snapshot{Position: c.Position, Data: c.Data}, nil
}

// Save writes a snapshot durably and removes all but the newest two. It returns the
// index of the oldest snapshot that remains.
func (f *Folder) Save(s raft.Snapshot) (uint64, error) {
	data, err := Encode(s)
	if err != nil {
		return 0, err
	}
	path := f.file(s.Index)
	if err := f.writeTemp(path+tempSuffix, data); err != nil {
		return 0, errors.Wrap(err, "snap: write temporary file")
	}
	if err := f.fs.Rename(path+tempSuffix, path); err != nil {
		return 0, errors.Wrap(err, "snap: rename temporary file")
	}
	if err := f.fs.SyncFolder(f.path); err != nil {
		return 0, errors.Wrap(err, "snap: sync folder")
	}
	return f.removeOld()
}

func (f *Folder) writeTemp(path string, data []byte) error {
	file, err := f.fs.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	n, err := file.Write(data)
	if err != nil {
		return err
	}
	if n < len(data) {
		return errors.Wrapf(io.ErrShortWrite, "%d of %d bytes", n, len(data))
	}
	return file.Sync()
}

func (f *Folder) removeOld() (uint64, error) {
	indices, err := f.indices()
	if err != nil {
		return 0, err
	}
	for len(indices) > keptSnapshots {
		if err := f.fs.Remove(f.file(indices[0])); err != nil {
			return 0, errors.Wrap(err, "snap: remove old snapshot")
		}
		indices = indices[1:]
	}
	return indices[0], nil
}

// Newest returns the newest intact snapshot, and false if there is none. damaged lists
// an ErrCorrupt for each newer file that was skipped, newest first.
func (f *Folder) Newest() (s raft.Snapshot, found bool, damaged []error, err error) {
	indices, err := f.indices()
	if err != nil {
		return s, false, nil, err
	}
	for i := len(indices) - 1; i >= 0; i-- {
		path := f.file(indices[i])
		data, err := f.fs.ReadFile(path)
		if err != nil {
			return s, false, damaged, errors.Wrap(err, "snap: read snapshot")
		}
		s, err = Decode(path, data)
		if err == nil {
			return s, true, damaged, nil
		}
		damaged = append(damaged, err)
	}
	return raft.Snapshot{}, false, damaged, nil
}

// indices returns the indices of the snapshot files in ascending order.
func (f *Folder) indices() ([]uint64, error) {
	names, err := f.fs.List(f.path)
	if err != nil {
		return nil, errors.Wrap(err, "snap: list")
	}
	var indices []uint64
	for _, name := range names {
		digits, ok := strings.CutSuffix(name, suffix)
		if !ok {
			continue
		}
		if index, err := strconv.ParseUint(digits, 10, 64); err == nil {
			indices = append(indices, index)
		}
	}
	return indices, nil
}

func (f *Folder) file(index uint64) string {
	return filepath.Join(f.path, fmt.Sprintf("%020d%s", index, suffix))
}
