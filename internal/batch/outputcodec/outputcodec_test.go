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
			t.Fatal("compressed output is longer than its input: ", len(body), len(output))
		}
		if compressed && len(output) < constants.CompressMinBytes {
			t.Fatal("compressed an output below the minimum size: ", len(output))
		}
		if alphabet <= 32 && len(output) > 2000 && !compressed {
			t.Fatal("a compressible output was not compressed; alphabet and length: ", alphabet, len(output))
		}
		restored, err := Decompress(body, compressed)
		if err != nil || !bytes.Equal(restored, output) {
			t.Fatal(err, len(restored), len(output))
		}
		if compressed {
			if truncated, err := Decompress(body[:len(body)/2], true); err == nil {
				t.Fatal("a truncated output was decompressed without an error, bytes: ", len(truncated))
			}
		}
	}
}
