// Package outputcodec compresses the output of an item at the node that ran it, because the
// output crosses the leader's link once to the leader and once more to each store, and also
// crosses zones. An output that compression does not shrink is kept unchanged; a flag stored
// beside it says whether it is compressed.
package outputcodec

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"lemonarch/internal/platform/constants"
	"lemonarch/internal/platform/errs"
)

// ErrCorrupt is returned for an output that cannot be decompressed.
var ErrCorrupt = errs.Define("corrupt output")

// compressor is shared by all runs and used by one at a time, because each flate.Writer has
// buffers of its own.
var compressor struct {
	sync.Mutex
	writer *flate.Writer
}

// Compress compresses an output when its run has ended. It uses Huffman coding only, without
// matching of repeated strings, because that takes little time even on a small processor. It
// returns the output unchanged, and false, if the output is shorter than
// constants.CompressMinBytes or does not get smaller.
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

// Decompress returns the original output.
func Decompress(body []byte, compressed bool) ([]byte, error) {
	if !compressed {
		return body, nil
	}
	output, err := io.ReadAll(flate.NewReader(bytes.NewReader(body)))
	return output, ErrCorrupt.Wrap(err, "decompress")
}
