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

// compressor is used by one run at a time: a writer holds buffers of its own.
var compressor struct {
	sync.Mutex
	writer *flate.Writer
}

// compress compresses an output where its run ended: its text goes over the holder's link
// once to it and once from it to each store, and between zones. Symbols alone are
// weighed, which costs little of a small processor. What gets no smaller stays as it is.
func compress(output []byte) (body []byte, compressed bool) {
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

// decompress gives the text of an output back.
func decompress(body []byte, compressed bool) ([]byte, error) {
	if !compressed {
		return body, nil
	}
	output, err := io.ReadAll(flate.NewReader(bytes.NewReader(body)))
	return output, ErrCorruptOutput.Wrap(err, "unpack")
}
