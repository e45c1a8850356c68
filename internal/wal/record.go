package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// A record consists of the length of the payload (4 bytes), a CRC-32C (4), the
// offset in the segment at which the record's batch starts (4), the kind (1) and the
// payload. Integers are big-endian, and the CRC covers everything but itself. The
// records of a batch become durable together; the batch offset distinguishes a torn
// last batch from damage to an earlier one.
const (
	headerBytes     = 13
	maxPayloadBytes = 16 << 20
)

type kind uint8

const (
	kindMeta kind = iota + 1
	kindEntry
	kindHardState
	kindBase
	kindPeerIncarnations
)

type record struct {
	kind    kind
	batch   int
	payload []byte
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends an encoded record to buf. batch is the offset of its batch.
func appendRecord(buf []byte, batch int, k kind, payload []byte) []byte {
	start := len(buf)
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.BigEndian.AppendUint32(buf, 0)
	buf = binary.BigEndian.AppendUint32(buf, uint32(batch))
	buf = append(buf, byte(k))
	buf = append(buf, payload...)
	binary.BigEndian.PutUint32(buf[start+4:], checksum(buf[start:]))
	return buf
}

func checksum(rec []byte) uint32 {
	crc := crc32.Update(0, castagnoli, rec[:4])
	return crc32.Update(crc, castagnoli, rec[8:])
}

// readRecord decodes the record at offset and returns it with its size in bytes. It
// returns false if there is no complete, undamaged record.
func readRecord(data []byte, offset int) (record, int, bool) {
	rest := data[offset:]
	if len(rest) < headerBytes {
		return record{}, 0, false
	}
	length := int(binary.BigEndian.Uint32(rest))
	if length > maxPayloadBytes || length > len(rest)-headerBytes {
		return record{}, 0, false
	}
	size := headerBytes + length
	rec := record{
		kind:    kind(rest[12]),
		batch:   int(binary.BigEndian.Uint32(rest[8:])),
		payload: rest[headerBytes:size],
	}
	known := rec.kind >= kindMeta && rec.kind <= kindPeerIncarnations
	if !known || rec.batch > offset || checksum(rest[:size]) != binary.BigEndian.Uint32(rest[4:]) {
		return record{}, 0, false
	}
	return rec, size, true
}

// isTornTail reports whether the damaged record at offset belongs to a torn last
// batch: no later record belongs to a batch that starts after the damage.
func isTornTail(data []byte, offset int) bool {
	for at := offset + 1; at < len(data); at++ {
		if rec, _, ok := readRecord(data, at); ok && rec.batch > offset {
			return false
		}
	}
	return true
}
