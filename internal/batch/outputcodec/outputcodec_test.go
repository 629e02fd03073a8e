package outputcodec

import (
	"bytes"
	"math/rand"
	"testing"

	"lemonarch/internal/platform/constants"
)

// Outputs of random length and alphabet survive compression byte for byte and never grow. A
// truncated output must yield an error instead of a part of the text.
func TestDecompressRestoresTheOutput(t *testing.T) {
	random := rand.New(rand.NewSource(7))
	for round := 0; round < 300; round++ {
		output := make([]byte, random.Intn(9000))
		alphabet := 1 + random.Intn(256)
		for i := range output {
			output[i] = byte(random.Intn(alphabet))
		}
		body, compressed := Compress(output)
		if len(body) > len(output) {
			t.Fatalf("output of %d bytes has %d bytes after compression, want at most as many", len(output), len(body))
		}
		if compressed && len(output) < constants.CompressMinBytes {
			t.Fatalf("compressed an output of %d bytes, want outputs below %d bytes unchanged",
				len(output), constants.CompressMinBytes)
		}
		if alphabet <= 32 && len(output) > 2000 && !compressed {
			t.Fatalf("output of %d bytes with an alphabet of %d was not compressed", len(output), alphabet)
		}
		restored, err := Decompress(body, compressed)
		if err != nil || !bytes.Equal(restored, output) {
			t.Fatalf("restored %d bytes with error %v, want the original %d bytes", len(restored), err, len(output))
		}
		if compressed {
			if truncated, err := Decompress(body[:len(body)/2], true); err == nil {
				t.Fatalf("truncated output was decompressed to %d bytes without an error, want an error", len(truncated))
			}
		}
	}
}
