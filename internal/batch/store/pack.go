package store

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
)

// ErrCorruptOutput is the error of an output whose text can't be unpacked.
var ErrCorruptOutput = errs.Define("output text")

// packer is used by one run at a time: a writer holds buffers of its own.
var packer struct {
	sync.Mutex
	writer *flate.Writer
}

// pack compresses an output where its run ended: its text goes over the holder's link
// once to it and once from it to each store, and between zones. Symbols alone are
// weighed, which costs little of a small processor. What gets no smaller stays as it is.
func pack(text []byte) (body []byte, packed bool) {
	if len(text) < constants.CompressMinBytes {
		return text, false
	}
	packer.Lock()
	defer packer.Unlock()
	var out bytes.Buffer
	if packer.writer == nil {
		packer.writer, _ = flate.NewWriter(&out, flate.HuffmanOnly)
	} else {
		packer.writer.Reset(&out)
	}
	if _, err := packer.writer.Write(text); err != nil {
		return text, false
	}
	if packer.writer.Close() != nil || out.Len() >= len(text) {
		return text, false
	}
	return out.Bytes(), true
}

// unpack gives the text of an output back.
func unpack(body []byte, packed bool) ([]byte, error) {
	if !packed {
		return body, nil
	}
	text, err := io.ReadAll(flate.NewReader(bytes.NewReader(body)))
	return text, ErrCorruptOutput.Wrap(err, "unpack")
}
