package outputcodec

import (
	"bytes"
	"math/rand"
	"testing"

	"lemonarch/internal/platform/constants"
)

// A text comes back byte for byte, is never longer than it was, and a damaged one is
// told instead of given out.
func TestDecompressRestoresTheOutput(t *testing.T) {
	random := rand.New(rand.NewSource(7))
	for round := 0; round < 300; round++ {
		output := make([]byte, random.Intn(9000))
		requests := 1 + random.Intn(256)
		for i := range output {
			output[i] = byte(random.Intn(requests))
		}
		body, compressed := Compress(output)
		if len(body) > len(output) {
			t.Fatal("longer: ", len(body), len(output))
		}
		if compressed && len(output) < constants.CompressMinBytes {
			t.Fatal("packed though short: ", len(output))
		}
		if requests <= 32 && len(output) > 2000 && !compressed {
			t.Fatal("not packed: ", requests, len(output))
		}
		resp, err := Decompress(body, compressed)
		if err != nil || !bytes.Equal(resp, output) {
			t.Fatal(err, len(resp), len(output))
		}
		if compressed {
			if truncated, err := Decompress(body[:len(body)/2], true); err == nil {
				t.Fatal("half a text was given out: ", len(truncated))
			}
		}
	}
}
