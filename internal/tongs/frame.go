package tongs

import (
	"bufio"
	"encoding/binary"
	"io"

	"lemonarch/internal/almanac"
	"lemonarch/internal/pattern"
)

// The frame head: mark, version, sort, kind, number of the call, length of the body.
const (
	headBytes   = 1 + 1 + 1 + 2 + 8 + 4
	frameMark   = 0xA7
	sortCall    = 1
	sortAnswer  = 2
	sortUnknown = 3
	sortTell    = 4
)

type frame struct {
	sort   byte
	kind   pattern.Kind
	number uint64
	body   []byte
}

func appendFrame(into []byte, one frame) []byte {
	into = append(into, frameMark, almanac.FrameVersion, one.sort)
	into = binary.BigEndian.AppendUint16(into, uint16(one.kind))
	into = binary.BigEndian.AppendUint64(into, one.number)
	into = binary.BigEndian.AppendUint32(into, uint32(len(one.body)))
	return append(into, one.body...)
}

func readFrame(reader *bufio.Reader) (frame, error) {
	var head [headBytes]byte
	if _, failure := io.ReadFull(reader, head[:]); failure != nil {
		return frame{}, failure
	}
	length := binary.BigEndian.Uint32(head[13:])
	// A wrong mark or a senseless length can't be read past: the connection ends.
	if head[0] != frameMark || length > almanac.FrameLimit {
		return frame{}, Damaged.New("head")
	}
	one := frame{
		sort:   head[2],
		kind:   pattern.Kind(binary.BigEndian.Uint16(head[3:])),
		number: binary.BigEndian.Uint64(head[5:]),
		body:   make([]byte, length),
	}
	_, failure := io.ReadFull(reader, one.body)
	return one, failure
}
