package lab

import (
	"os"
	"os/signal"
	"runtime"
	"strings"
	"syscall"
	"testing"
)

// TestReloadWritesSettingsFile checks that the changed settings file is in place when SIGHUP arrives. A
// reload must not make a process exit: the lab does not expect an exit after it. Here the script exits so
// that the test can wait for it.
func TestReloadWritesSettingsFile(t *testing.T) {
	// If the tests run with SIGHUP ignored (nohup), their children inherit that, and a
	// shell can't trap a signal that was ignored when it started.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	plan := NewPlan()
	plan.Programs = programs(t, `trap 'cat "$LEMONARCH_SETTINGS" > "$LEMONARCH_SETTINGS.seen"; kill "$other"; exit 0' HUP; sleep 60 & other=$!; echo > "$LEMONARCH_SETTINGS.up"; wait`)
	for valid, want := range map[bool]string{true: "bootstrap = false", false: invalidSettings} {
		fleet := &Fleet{Plan: plan, Folder: t.TempDir(), stopping: make(chan struct{}), Failed: make(chan error, 1)}
		target := newProcess(&plan, plan.nodes()[0], fleet.Folder, newStarter())
		path, err := plan.writeSettings(target.node, fleet.Folder, true)
		if err != nil {
			t.Fatal(err)
		}
		target.settingsPath = path
		if err := target.run(fleet.reportFailure); err != nil {
			t.Fatal(err)
		}
		for {
			if _, err := os.Stat(path + ".up"); err == nil {
				break
			}
			runtime.Gosched()
		}
		fleet.applyToProcess(target, Trouble{Kind: map[bool]string{true: kindReload, false: kindReloadBad}[valid]})
		<-target.exited
		if text, err := os.ReadFile(path + ".seen"); err != nil || !strings.Contains(string(text), want) {
			t.Errorf("valid=%t: got settings file %q, error %v; want a file that contains %q", valid, text, err, want)
		}
	}
}
