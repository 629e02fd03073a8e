package settings

import (
	"bytes"
	"os"
	"testing"

	"github.com/BurntSushi/toml"
)

// TestGoldenSettings reads a file that sets every key, and writes the same bytes again: the
// names of the keys are the operators'.
func TestGoldenSettings(t *testing.T) {
	golden, err := os.ReadFile("testdata/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := Parse(golden)
	if err != nil {
		t.Fatal(err)
	}
	var encoded bytes.Buffer
	if err = toml.NewEncoder(&encoded).Encode(parsed); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded.Bytes(), golden) {
		t.Errorf("was:\n%s\nis:\n%s", golden, encoded.Bytes())
	}
}
