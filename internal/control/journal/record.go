package journal

import (
	"encoding/binary"
	"hash/crc32"
)

// A record consists of the payload's size and its CRC-32C checksum, each 4 bytes in
// little-endian order, and the payload.
const (
	headerBytes = 8
	// maxRecordBytes bounds the payload, so that a corrupted size is detected.
	maxRecordBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends a record to buf.
func appendRecord(buf, payload []byte) []byte {
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.LittleEndian.AppendUint32(buf, crc32.Checksum(payload, castagnoli))
	return append(buf, payload...)
}

// readRecord returns the payload of the record at the start of data and the
// record's size. ok is false when there is no complete and valid record.
func readRecord(data []byte) (payload []byte, size int, ok bool) {
	if len(data) < headerBytes {
		return nil, 0, false
	}
	n := int(binary.LittleEndian.Uint32(data))
	if n == 0 || n > maxRecordBytes || headerBytes+n > len(data) {
		return nil, 0, false
	}
	payload = data[headerBytes : headerBytes+n]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, 0, false
	}
	return payload, headerBytes + n, true
}

// splitRecords returns the payloads of the valid records at the start of data and
// the number of bytes that they fill. A write that was interrupted by a crash
// leaves an invalid tail without any valid record in it, because each write is one
// record and starts only after the previous one was synced. A valid record after an
// invalid one therefore means corruption. corruptAt is its offset, or -1.
func splitRecords(data []byte) (payloads [][]byte, validBytes int, corruptAt int64) {
	for validBytes < len(data) {
		payload, size, ok := readRecord(data[validBytes:])
		if !ok {
			break
		}
		payloads = append(payloads, payload)
		validBytes += size
	}
	for at := validBytes + 1; at+headerBytes <= len(data); at++ {
		if _, _, ok := readRecord(data[at:]); ok {
			return payloads, validBytes, int64(validBytes)
		}
	}
	return payloads, validBytes, -1
}
