package wal

import (
	"encoding/binary"
	"hash/crc32"
)

// A record is: length of the payload (4 bytes), CRC (4), offset at which the
// record's batch starts (4), kind (1), payload. The CRC covers everything but
// itself. Records of one batch become durable together; the batch offset tells
// a torn batch from damage to an earlier one.
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
)

type record struct {
	kind    kind
	batch   int
	payload []byte
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

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

// readRecord decodes the record at offset, and reports its size. It returns
// false when there is no complete, undamaged record.
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
	known := rec.kind >= kindMeta && rec.kind <= kindBase
	if !known || rec.batch > offset || checksum(rest[:size]) != binary.BigEndian.Uint32(rest[4:]) {
		return record{}, 0, false
	}
	return rec, size, true
}

// tornAt tells whether the damage at offset is a torn last batch: no later
// record belongs to a batch that was started after the damage.
func tornAt(data []byte, offset int) bool {
	for at := offset + 1; at < len(data); at++ {
		if rec, _, ok := readRecord(data, at); ok && rec.batch > offset {
			return false
		}
	}
	return true
}
