package recordlog

import (
	"encoding/binary"
	"hash/crc32"
)

// A record is a header of two big-endian 32-bit words, followed by the body. The first
// word contains the length of the body and two flags, the second a checksum of the first
// word and the body. Records written by older versions have no flags, and their checksum
// covers the body alone.
const (
	headerBytes = 8
	// checksumsHeader marks a record whose checksum covers its first word.
	checksumsHeader = 1 << 31
	// provesPrefix marks a record that was written when everything before it in the file was
	// synced.
	provesPrefix = 1 << 30

	lengthMask = provesPrefix - 1
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends an encoded record to data; proof sets provesPrefix.
func appendRecord(data, body []byte, proof bool) []byte {
	lengthAndFlags := uint32(len(body)) | checksumsHeader
	if proof {
		lengthAndFlags |= provesPrefix
	}
	data = binary.BigEndian.AppendUint32(data, lengthAndFlags)
	data = binary.BigEndian.AppendUint32(data, checksum(lengthAndFlags, body))
	return append(data, body...)
}

func checksum(lengthAndFlags uint32, body []byte) uint32 {
	if lengthAndFlags&checksumsHeader == 0 {
		return crc32.Checksum(body, castagnoli)
	}
	var word [4]byte
	binary.BigEndian.PutUint32(word[:], lengthAndFlags)
	return crc32.Update(crc32.Checksum(word[:], castagnoli), castagnoli, body)
}

// bodyLength returns the length of the body from a record header.
func bodyLength(head []byte) int64 { return int64(binary.BigEndian.Uint32(head) & lengthMask) }

// parseRecord decodes the record at the beginning of data; complete is false if there is no
// complete valid record. proof reports that everything before the record was synced. It is
// also true for a record of an older version, since what precedes that may have been synced.
func parseRecord(data []byte) (body []byte, proof, complete bool) {
	if len(data) < headerBytes {
		return nil, false, false
	}
	first, length := binary.BigEndian.Uint32(data), bodyLength(data)
	if length == 0 || length > int64(len(data)-headerBytes) {
		return nil, false, false
	}
	body = data[headerBytes : headerBytes+length]
	if checksum(first, body) != binary.BigEndian.Uint32(data[4:]) {
		return nil, false, false
	}
	return body, first&checksumsHeader == 0 || first&provesPrefix != 0, true
}

// findProofAfter searches from offset for a complete record which proves that everything before
// it was synced. Any part of the data that no sync has covered may be missing while a later part
// is present, so an invalid record counts as damage only if it was synced.
func findProofAfter(data []byte, offset int64) (int64, bool) {
	for ; offset+headerBytes < int64(len(data)); offset++ {
		if _, proof, complete := parseRecord(data[offset:]); complete && proof {
			return offset, true
		}
	}
	return 0, false
}
