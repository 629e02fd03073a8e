package loadgen

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lemonarch/internal/tooling/lab"
	"lemonarch/internal/tooling/workeremulator"
)

// programs returns a folder with empty files in place of the programs.
func programs(t *testing.T) string {
	t.Helper()

	folder := t.TempDir()
	for _, name := range []string{"gateway", "controller", "store"} {
		if err := os.WriteFile(filepath.Join(folder, name), nil, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

// TestInvalidExperimentsAreRejected checks that each invalid file leads to an error of one line that
// names the fault.
func TestInvalidExperimentsAreRejected(t *testing.T) {
	folder := programs(t)
	for text, want := range map[string]string{
		"rate = 0.0":                      "rate",
		"rate = nan":                      "rate",
		"rte = 1.0":                       "rte",
		"x =":                             "can't be read",
		"items = 500":                     "items",
		"for-s = 0.0":                     "for",
		"count = -1":                      "count",
		"tries = 9":                       "tries",
		"mix = \"query=x\"":               "mix",
		"mix = \"query=0\"":               "mix",
		"mix = \"other=1\"":               "mix",
		"[[fleet]]\ngateways = 0":         "gateways",
		"[[fleet]]\ngateways = 240":       "processes",
		"[[fleet]]\nnetwork = \"10.0.0\"": "network",
		"[[fleet]]\nlabel = \"a\"\n[[fleet]]\nlabel = \"a\"":                      "same label",
		"[[fleet]]\nprograms = \"nowhere\"":                                       "no program",
		"[[trouble]]\nkind = \"melt\"":                                            "melt",
		"[[trouble]]\nkind = \"kill\"\ntarget = \"worker-1\"":                     "does not fit",
		"[[trouble]]\nkind = \"freeze\"\ntarget = \"gateway-1\"":                  "for-s",
		"[[trouble]]\nkind = \"kill\"\ntarget = \"gateway-1\"\nat-s = 99.0":       "behind the end",
		"[[trouble]]\nkind = \"faults\"\ntarget=\"worker\"\nfaults = {cut = 2.0}": "cut",
	} {
		_, _, err := ReadExperiment(text, folder)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: got error %v, want one line that contains %q", text, err, want)
		}
	}
}

func TestExperimentDefaults(t *testing.T) {
	folder := programs(t)
	experiment, options, err := ReadExperiment("rate = 7.0\n[[fleet]]\ngateways = 1\n[[fleet]]\nlabel = \"b\"\ncapacity = 2\n", folder)
	if err != nil || options.Rate != 7 || options.Items != NewOptions().Items || len(experiment.Fleets) != 2 {
		t.Fatalf("got experiment %+v, options %+v, error %v; want rate 7, the default number of items and two fleets", experiment, options, err)
	}
	first, second := experiment.Fleets[0], experiment.Fleets[1]
	if first.Gateways != 1 || second.Gateways != 2 || second.Capacity != 2 || first.Capacity == 2 || second.Label != "b" || first.Network == second.Network || first.Programs != folder {
		t.Fatalf("got fleets %+v and %+v, want their own settings, different networks and otherwise the defaults", first, second)
	}
}

// TestFaultsAreReadCompletely checks that every field of a trouble can be set by its name in an
// experiment file.
func TestFaultsAreReadCompletely(t *testing.T) {
	experiment, _, err := ReadExperiment(`[[trouble]]
at-s = 1.0
kind = "faults"
target = "worker-1"
for-s = 2.0
back-s = 3.0
faults = { fail = 0.1, full = 0.2, hang = 0.3, cut = 0.4, garble = 0.5, surplus = 0.6, twice = 0.7, skip = 0.8, forge = 0.9, late-ms = 1.0, never = 0.25, slow = 2.0, lying = true, forget-ms = 3.0 }
`, programs(t))
	want := lab.Trouble{AtS: 1, Kind: "faults", Target: "worker-1", ForS: 2, BackS: 3, Faults: workeremulator.Faults{Fail: 0.1, Full: 0.2, Hang: 0.3,
		Cut: 0.4, Garble: 0.5, Surplus: 0.6, Twice: 0.7, Skip: 0.8, Forge: 0.9, Never: 0.25, LateMs: 1, Slow: 2, Lying: true, ForgetMs: 3}}
	if err != nil || len(experiment.Trouble) != 1 || experiment.Trouble[0] != want {
		t.Fatalf("got experiment %+v, error %v; want one trouble %+v", experiment, err, want)
	}
}

// TestExperimentsOfTheDocuments checks that the experiment files of the documentation are valid.
func TestExperimentsOfTheDocuments(t *testing.T) {
	files, _ := filepath.Glob("../../../docs/experiments/*.toml")
	if len(files) == 0 {
		t.Fatal("found no experiment files")
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err == nil {
			_, _, err = ReadExperiment(string(text), programs(t))
		}
		if err != nil {
			t.Errorf("experiment file %s is not valid: %v", file, err)
		}
	}
}

func TestOnlyLoopbackIsLoaded(t *testing.T) {
	for address, allowed := range map[string]bool{"127.0.0.1:1": true, "http://127.9.0.1:7100/": true, "10.0.0.1:80": false, "0.0.0.0:80": false,
		"example.com:80": false, "nonsense": false} {
		if _, err := OpenEndpoint(address); (err == nil) != allowed {
			t.Errorf("address %q: got error %v, want the address to be allowed: %t", address, err, allowed)
		}
	}
}
