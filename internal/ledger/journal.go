package ledger

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// A journal file consists of a header and a sequence of frames. Each frame holds
// one batch of changes:
//
//	header: magic (8 bytes), salt (8 bytes), epoch (8 bytes), CRC-32C of these
//	frame:  mark (4 bytes), length (4 bytes), CRC-32C of salt, length and payload (4 bytes), payload
//
// Integers are big-endian. A payload is a CBOR array of op. The random salt in the
// checksum prevents bytes of a stored answer from being parsed as a frame.
const (
	fileName         = "ledger.journal"
	temporaryName    = "ledger.journal.new"
	headerBytes      = 28
	frameHeaderBytes = 12
	// maxPayloadBytes bounds the payload of a frame. A single change is far smaller.
	maxPayloadBytes = 16 << 20
)

var (
	magic      = []byte("SFLEDG01")
	frameMark  = []byte{0xf1, 'S', 'F', 0x1f}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// ErrCorrupt reports a journal with a damaged header, or with a damaged frame that
// is followed by a valid one. Open returns it instead of a ledger, because skipping
// the damaged frame could lose acknowledged records. Offset is in bytes from the
// start of the file.
type ErrCorrupt struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *ErrCorrupt) Error() string {
	return fmt.Sprintf("ledger: %s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// header identifies a journal file. epoch is the wall-clock time in Unix milliseconds
// at which the ledger started without its previous records, 0 if it never had any.
type header struct {
	salt  [8]byte
	epoch int64
}

func newHeader(epoch int64) (header, error) {
	h := header{epoch: epoch}
	_, err := rand.Read(h.salt[:])
	return h, errors.Wrap(err, "ledger: generate salt")
}

func (h header) encode() []byte {
	out := append([]byte(nil), magic...)
	out = append(out, h.salt[:]...)
	out = binary.BigEndian.AppendUint64(out, uint64(h.epoch))
	return binary.BigEndian.AppendUint32(out, crc32.Checksum(out, castagnoli))
}

// Reasons in an ErrCorrupt for a damaged header.
var (
	errNotJournal     = errors.New("not a ledger journal")
	errHeaderChecksum = errors.New("header checksum does not match")
)

func decodeHeader(data []byte) (header, error) {
	var h header
	if len(data) < headerBytes || !bytes.Equal(data[:8], magic) {
		return h, errNotJournal
	}
	sum := binary.BigEndian.Uint32(data[24:28])
	if crc32.Checksum(data[:24], castagnoli) != sum {
		return h, errHeaderChecksum
	}
	copy(h.salt[:], data[8:16])
	h.epoch = int64(binary.BigEndian.Uint64(data[16:24]))
	return h, nil
}

func (h header) checksum(length uint32, payload []byte) uint32 {
	var buf [12]byte
	copy(buf[:8], h.salt[:])
	binary.BigEndian.PutUint32(buf[8:], length)
	return crc32.Update(crc32.Checksum(buf[:], castagnoli), castagnoli, payload)
}

func (h header) encodeFrame(ops []op) ([]byte, error) {
	payload, err := cbor.Marshal(ops)
	if err != nil {
		return nil, errors.Wrap(err, "ledger: encode frame")
	}
	length := uint32(len(payload))
	out := make([]byte, 0, frameHeaderBytes+len(payload))
	out = append(out, frameMark...)
	out = binary.BigEndian.AppendUint32(out, length)
	out = binary.BigEndian.AppendUint32(out, h.checksum(length, payload))
	return append(out, payload...), nil
}

// decodeFrame decodes the frame at the start of data and returns its size in bytes.
// reason is empty for a valid frame and says otherwise what is wrong.
func (h header) decodeFrame(data []byte) (ops []op, size int, reason string) {
	if len(data) < frameHeaderBytes || !bytes.Equal(data[:4], frameMark) {
		return nil, 0, "frame mark not found"
	}
	length := binary.BigEndian.Uint32(data[4:8])
	if length > maxPayloadBytes || int(length) > len(data)-frameHeaderBytes {
		return nil, 0, "frame is truncated or too long"
	}
	payload := data[frameHeaderBytes : frameHeaderBytes+int(length)]
	if h.checksum(length, payload) != binary.BigEndian.Uint32(data[8:12]) {
		return nil, 0, "frame checksum does not match"
	}
	if err := cbor.Unmarshal(payload, &ops); err != nil {
		return nil, 0, "frame payload can't be decoded"
	}
	return ops, frameHeaderBytes + int(length), ""
}

// decodeFrames passes the changes of all valid frames to apply and returns the
// length of the valid part in bytes. A damaged frame that is followed by a valid one
// gives an *ErrCorrupt. A damaged tail is not an error: a crash leaves one when it
// interrupts the write of a batch, which was then never acknowledged.
func (h header) decodeFrames(data []byte, apply func(op)) (int, error) {
	offset := 0
	for offset < len(data) {
		ops, size, reason := h.decodeFrame(data[offset:])
		if reason != "" {
			if h.containsValidFrame(data[offset+1:]) {
				return offset, &ErrCorrupt{Offset: int64(headerBytes + offset), Reason: reason}
			}
			return offset, nil
		}
		for _, change := range ops {
			apply(change)
		}
		offset += size
	}
	return offset, nil
}

// containsValidFrame reports whether a valid frame starts anywhere in data.
func (h header) containsValidFrame(data []byte) bool {
	for {
		i := bytes.Index(data, frameMark)
		if i < 0 {
			return false
		}
		if _, _, reason := h.decodeFrame(data[i:]); reason == "" {
			return true
		}
		data = data[i+1:]
	}
}

// load passes the changes of the journal in folder to apply, truncates a torn tail,
// and returns the open file and its size in bytes. The error is os.ErrNotExist if
// folder has no journal.
func load(folder string, apply func(op)) (header, *os.File, int64, error) {
	path := filepath.Join(folder, fileName)
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return header{}, nil, 0, err
	}
	h, size, err := read(file, path, apply)
	if err != nil {
		_ = file.Close()
		return header{}, nil, 0, err
	}
	return h, file, size, nil
}

func read(file *os.File, path string, apply func(op)) (header, int64, error) {
	data, err := io.ReadAll(file)
	if err != nil {
		return header{}, 0, errors.Wrap(err, "ledger: read journal")
	}
	h, err := decodeHeader(data)
	if err != nil {
		return header{}, 0, &ErrCorrupt{File: path, Reason: err.Error()}
	}
	valid, err := h.decodeFrames(data[headerBytes:], apply)
	if err != nil {
		var corrupt *ErrCorrupt
		if errors.As(err, &corrupt) {
			corrupt.File = path
		}
		return header{}, 0, err
	}
	size := int64(headerBytes + valid)
	if size < int64(len(data)) {
		if err := truncateTail(file, size); err != nil {
			return header{}, 0, err
		}
	}
	_, err = file.Seek(size, io.SeekStart)
	return h, size, errors.Wrap(err, "ledger: seek to the end of the journal")
}

func truncateTail(file *os.File, size int64) error {
	if err := file.Truncate(size); err != nil {
		return errors.Wrap(err, "ledger: truncate torn tail")
	}
	return errors.Wrap(file.Sync(), "ledger: sync after truncating the torn tail")
}

// create writes a new journal with the changes to a temporary file and renames it, so
// that a crash leaves either the previous journal or the new one.
func create(folder string, epoch int64, ops []op) (header, *os.File, int64, error) {
	h, err := newHeader(epoch)
	if err != nil {
		return h, nil, 0, err
	}
	temporary := filepath.Join(folder, temporaryName)
	file, err := os.OpenFile(temporary, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o644)
	if err != nil {
		return h, nil, 0, errors.Wrap(err, "ledger: create journal")
	}
	size, err := writeJournal(file, h, ops)
	if err == nil {
		err = errors.Wrap(os.Rename(temporary, filepath.Join(folder, fileName)), "ledger: rename new journal")
	}
	if err == nil {
		err = syncFolder(folder)
	}
	if err != nil {
		_ = file.Close()
		return h, nil, 0, err
	}
	return h, file, size, nil
}

// writeJournal writes the header and the changes in frames of bounded size, and syncs file.
func writeJournal(file *os.File, h header, ops []op) (int64, error) {
	out := bytes.NewBuffer(h.encode())
	size := int64(0)
	for start := 0; start < len(ops); {
		end := batchEnd(ops, start)
		frame, err := h.encodeFrame(ops[start:end])
		if err != nil {
			return 0, err
		}
		out.Write(frame)
		start = end
		n, err := out.WriteTo(file)
		size += n
		if err != nil {
			return 0, errors.Wrap(err, "ledger: write new journal")
		}
	}
	n, err := out.WriteTo(file)
	if err != nil {
		return 0, errors.Wrap(err, "ledger: write new journal")
	}
	return size + n, errors.Wrap(file.Sync(), "ledger: sync new journal")
}

// batchEnd returns the end of the batch from start that is written to one frame: at least
// one change, and further ones up to a size bound of half of maxPayloadBytes.
func batchEnd(ops []op, start int) int {
	size := 0
	for i := start; i < len(ops); i++ {
		size += encodedSizeBound(ops[i])
		if i > start && size > maxPayloadBytes/2 {
			return i
		}
	}
	return len(ops)
}

// encodedSizeBound returns an upper bound of the encoded size of a change in bytes,
// apart from the constant overhead of the body's encoding.
func encodedSizeBound(change op) int {
	size := 128 + len(change.ID) + len(change.Owner)
	if change.Answer != nil {
		size += 128 + len(change.Answer.Body) + len(change.Answer.Message) + len(change.Answer.ContentType)
	}
	return size
}

func syncFolder(folder string) error {
	dir, err := os.Open(folder)
	if err != nil {
		return errors.Wrap(err, "ledger: open data folder")
	}
	defer dir.Close()
	return errors.Wrap(dir.Sync(), "ledger: sync data folder")
}
