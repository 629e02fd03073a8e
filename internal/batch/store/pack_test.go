package store

import (
	"bytes"
	"math/rand"
	"testing"

	"lemonarch/internal/platform/constants"
)

// A text comes back byte for byte, is never longer than it was, and a damaged one is
// told instead of given out.
func TestPackedTextComesBack(t *testing.T) {
	random := rand.New(rand.NewSource(7))
	for round := 0; round < 300; round++ {
		text := make([]byte, random.Intn(9000))
		requests := 1 + random.Intn(256)
		for i := range text {
			text[i] = byte(random.Intn(requests))
		}
		body, packed := pack(text)
		if len(body) > len(text) {
			t.Fatal("longer: ", len(body), len(text))
		}
		if packed && len(text) < constants.CompressMinBytes {
			t.Fatal("packed though short: ", len(text))
		}
		if requests <= 32 && len(text) > 2000 && !packed {
			t.Fatal("not packed: ", requests, len(text))
		}
		resp, err := unpack(body, packed)
		if err != nil || !bytes.Equal(resp, text) {
			t.Fatal(err, len(resp), len(text))
		}
		if packed {
			if cut, err := unpack(body[:len(body)/2], true); err == nil {
				t.Fatal("half a text was given out: ", len(cut))
			}
		}
	}
}
