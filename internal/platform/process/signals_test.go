package process

import (
	"bytes"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/hashicorp/go-hclog"

	"lemonarch/internal/platform/settings"
)

const validSettings = `node-name = "n"
zone = "z"
ip = "10.0.0.1"
internal-ports = [7000,7010]
seeds = ["10.0.0.2:80"]
heartbeat-ms = 1200
[limits]
memory-mb = 100
[tolerances]
grace-s = 8
`

// Each reload gives one line, whatever the file holds by then, and reaches nothing but
// the log; the file is read at the signal, not before.
func TestReloadChecksTheFileOnly(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	t.Setenv(settings.Variable, path)
	for _, test := range []struct{ text, want string }{
		{validSettings, "hold from the next start"},
		{strings.Replace(validSettings, "10.0.0.2:80", "10.9.0.2:80", 1), "hold from the next start"},
		{strings.Replace(validSettings, "1200", "0", 1), "heartbeat-ms"},
		{validSettings[:60], "settings"},
		{"\x00", "not readable as TOML"},
		{"", "node-name is missing"},
	} {
		if err := os.WriteFile(path, []byte(test.text), 0o644); err != nil {
			t.Fatal(err)
		}
		if got := reloadOnce(); strings.Count(got, "\n") != 1 || !strings.Contains(got, test.want) {
			t.Errorf("want %q in one line, got %q", test.want, got)
		}
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if got := reloadOnce(); strings.Count(got, "\n") != 1 || !strings.Contains(got, "can't read the file") {
		t.Error(got)
	}
}

// reloadOnce gives what is logged at one reload.
func reloadOnce() string {
	reload := make(chan os.Signal, 1)
	reload <- syscall.SIGHUP
	close(reload)
	var text bytes.Buffer
	checkOnReload(reload, settings.Load, lineLog(&text))
	return text.String()
}

// lineLog writes one line an event.
func lineLog(text *bytes.Buffer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Output: text, DisableTime: true})
}

// leaver counts how often it was told to leave.
type leaver struct{ left int }

func (*leaver) Run() error  { return nil }
func (l *leaver) Shutdown() { l.left++ }

// A termination reaches the process behind any number of reloads, and one that comes
// before there is a process ends the start.
func TestTerminationIsNotLostBehindReloads(t *testing.T) {
	received := catchSignals()
	t.Cleanup(func() {
		signal.Stop(received.terminate)
		signal.Stop(received.reload)
	})
	for range 100 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	process, started := &leaver{}, newStarted()
	started <- process
	var text bytes.Buffer
	shutDownOnSignal(received.terminate, started, lineLog(&text))
	if process.left != 1 || !strings.Contains(text.String(), "signal="+syscall.SIGTERM.String()) {
		t.Fatal(process.left, text.String())
	}
	early := make(chan os.Signal, 1)
	early <- syscall.SIGTERM
	shutDownOnSignal(early, newStarted(), hclog.NewNullLogger())
}
