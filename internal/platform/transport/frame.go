package transport

import (
	"bufio"
	"encoding/binary"
	"io"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/messages"
)

// The frame header: magic byte, version, frame type, kind, number of the call, length of the body.
const (
	headerBytes       = 1 + 1 + 1 + 2 + 8 + 4
	frameMagic        = 0xA7
	frameRequest      = 1
	frameResponse     = 2
	frameRejected     = 3
	frameNotification = 4
)

// orderedFrameVersion is the first frame version whose senders number calls in the order in which
// they write them to a connection.
const orderedFrameVersion = 2

type frame struct {
	version   byte
	frameType byte
	kind      messages.Kind
	number    uint64
	body      []byte
}

func appendFrame(into []byte, f frame) []byte {
	into = append(into, frameMagic, constants.FrameVersion, f.frameType)
	into = binary.BigEndian.AppendUint16(into, uint16(f.kind))
	into = binary.BigEndian.AppendUint64(into, f.number)
	into = binary.BigEndian.AppendUint32(into, uint32(len(f.body)))
	return append(into, f.body...)
}

func readFrame(reader *bufio.Reader) (frame, error) {
	var head [headerBytes]byte
	if _, err := io.ReadFull(reader, head[:]); err != nil {
		return frame{}, err
	}
	length := binary.BigEndian.Uint32(head[13:])
	// After a wrong magic byte or an invalid length the next frame can't be located, so the
	// connection is closed.
	if head[0] != frameMagic || length > constants.FrameLimit {
		return frame{}, ErrMalformed.New("invalid header")
	}
	f := frame{
		version:   head[1],
		frameType: head[2],
		kind:      messages.Kind(binary.BigEndian.Uint16(head[3:])),
		number:    binary.BigEndian.Uint64(head[5:]),
		body:      make([]byte, length),
	}
	_, err := io.ReadFull(reader, f.body)
	return f, err
}
