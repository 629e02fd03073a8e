package transport

import (
	"bufio"
	"encoding/binary"
	"io"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
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

// orderedVersion is the first version of senders that number their calls in the order in
// which they are written on a connection.
const orderedVersion = 2

type frame struct {
	version byte
	sort    byte
	kind    messages.Kind
	number  uint64
	body    []byte
}

func appendFrame(into []byte, one frame) []byte {
	into = append(into, frameMark, constants.FrameVersion, one.sort)
	into = binary.BigEndian.AppendUint16(into, uint16(one.kind))
	into = binary.BigEndian.AppendUint64(into, one.number)
	into = binary.BigEndian.AppendUint32(into, uint32(len(one.body)))
	return append(into, one.body...)
}

func readFrame(reader *bufio.Reader) (frame, error) {
	var head [headBytes]byte
	if _, err := io.ReadFull(reader, head[:]); err != nil {
		return frame{}, err
	}
	length := binary.BigEndian.Uint32(head[13:])
	// A wrong mark or a senseless length can't be read past: the connection ends.
	if head[0] != frameMark || length > constants.FrameLimit {
		return frame{}, Damaged.New("head")
	}
	one := frame{
		version: head[1],
		sort:    head[2],
		kind:    messages.Kind(binary.BigEndian.Uint16(head[3:])),
		number:  binary.BigEndian.Uint64(head[5:]),
		body:    make([]byte, length),
	}
	_, err := io.ReadFull(reader, one.body)
	return one, err
}
