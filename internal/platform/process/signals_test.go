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

// TestMain catches the handled signals until the test process ends. signal.Stop does not wait for a
// signal that was sent and whose handler has not started yet: without another receiver, such a SIGHUP
// would end the test process after its tests have passed.
func TestMain(m *testing.M) {
	catchSignals()
	os.Exit(m.Run())
}

// TestReloadLogsOneLine checks that each reload logs exactly one line, whatever the content of the file.
// The file is read at the signal, not before.
func TestReloadLogsOneLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	t.Setenv(settings.PathVariable, path)
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
		t.Errorf("reload without a settings file: want %q in one line, got %q", "can't read the file", got)
	}
}

// reloadOnce returns the log output of one reload.
func reloadOnce() string {
	reload := make(chan os.Signal, 1)
	reload <- syscall.SIGHUP
	close(reload)
	var text bytes.Buffer
	checkOnReload(reload, settings.Load, newBufferLog(&text))
	return text.String()
}

// newBufferLog returns a logger that writes one line per event to a buffer.
func newBufferLog(text *bytes.Buffer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Output: text, DisableTime: true})
}

// recordingProcess is a Process that counts the calls of Shutdown.
type recordingProcess struct{ shutdowns int }

func (*recordingProcess) Run() error  { return nil }
func (p *recordingProcess) Shutdown() { p.shutdowns++ }

// TestTerminationIsNotLostBehindReloads checks that a termination signal reaches the process after any
// number of reload signals, and that one received before the process is created ends the start.
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
	process, started := &recordingProcess{}, newStarted()
	started <- process
	var text bytes.Buffer
	shutDownOnSignal(received.terminate, started, newBufferLog(&text))
	if process.shutdowns != 1 || !strings.Contains(text.String(), "signal="+syscall.SIGTERM.String()) {
		t.Fatalf("got %d shutdowns and log %q, want 1 shutdown and a line with the signal", process.shutdowns, text.String())
	}
	early := make(chan os.Signal, 1)
	early <- syscall.SIGTERM
	shutDownOnSignal(early, newStarted(), hclog.NewNullLogger())
}
