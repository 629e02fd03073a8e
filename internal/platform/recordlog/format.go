package recordlog

import (
	"encoding/binary"
	"hash/crc32"
)

// A record is a head of two words, big-endian, and its body. The first word holds
// the length of the body and two flags, the second a checksum of the first word and
// the body. Records that older versions wrote have no flags, and a checksum of the
// body alone.
const (
	headerBytes = 8
	// checksumsHeader hashes a record whose checksum covers its first word.
	checksumsHeader = 1 << 31
	// provesPrefix hashes a record before which everything was synced when it was written.
	provesPrefix = 1 << 30

	lengthMask = provesPrefix - 1
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends a record to a text.
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

// bodyLength reads the length of the body from a head.
func bodyLength(head []byte) int64 { return int64(binary.BigEndian.Uint32(head) & lengthMask) }

// parseRecord reads the record at the beginning of a text. Proof says that what
// stands before it was synced; an older version's record says so too, since it may
// have been.
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

// findProofAfter looks for a complete record which shows that what stands before it was
// synced. Of what no sync has covered, any part may be missing while a later one is
// there; only what was synced can have been damaged.
func findProofAfter(data []byte, offset int64) (int64, bool) {
	for ; offset+headerBytes < int64(len(data)); offset++ {
		if _, proof, complete := parseRecord(data[offset:]); complete && proof {
			return offset, true
		}
	}
	return 0, false
}
