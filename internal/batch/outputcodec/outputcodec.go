// Package outputcodec compresses the output of an item where it was run: it goes over the
// leader's link once to the leader and once from it to each store, and between zones. What
// does not get smaller stays as it is; a flag beside it says which.
package outputcodec

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
)

// ErrCorrupt is the error of an output whose text can't be unpacked.
var ErrCorrupt = errs.Define("output text")

// compressor is used by one run at a time: a writer holds buffers of its own.
var compressor struct {
	sync.Mutex
	writer *flate.Writer
}

// Compress compresses an output where its run ended: its text goes over the leader's link
// once to it and once from it to each store, and between zones. Symbols alone are
// weighed, which costs little of a small processor. What gets no smaller stays as it is.
func Compress(output []byte) (body []byte, compressed bool) {
	if len(output) < constants.CompressMinBytes {
		return output, false
	}
	compressor.Lock()
	defer compressor.Unlock()
	var out bytes.Buffer
	if compressor.writer == nil {
		compressor.writer, _ = flate.NewWriter(&out, flate.HuffmanOnly)
	} else {
		compressor.writer.Reset(&out)
	}
	if _, err := compressor.writer.Write(output); err != nil {
		return output, false
	}
	if compressor.writer.Close() != nil || out.Len() >= len(output) {
		return output, false
	}
	return out.Bytes(), true
}

// Decompress gives the text of an output back.
func Decompress(body []byte, compressed bool) ([]byte, error) {
	if !compressed {
		return body, nil
	}
	output, err := io.ReadAll(flate.NewReader(bytes.NewReader(body)))
	return output, ErrCorrupt.Wrap(err, "unpack")
}
