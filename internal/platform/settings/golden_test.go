package settings

import (
	"bytes"
	"os"
	"testing"

	"github.com/BurntSushi/toml"
)

// TestGoldenSettings parses a file that sets every key and checks that encoding the result yields the
// same bytes: operators' files use these keys, so their names must not change.
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
		t.Errorf("golden settings:\n%s\nencoded again:\n%s", golden, encoded.Bytes())
	}
}
