package daemon

import (
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// settingsFile writes a control daemon's settings file to a temporary directory and returns its name.
func settingsFile(t *testing.T, seeds string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "set.json")
	writeSettings(t, file, seeds)
	return file
}

func writeSettings(t *testing.T, file, seeds string) {
	t.Helper()
	doc := `{"name":"c","domain":"d","addr":"127.0.0.1:1","http":"127.0.0.1:2","data":"x","size":3,"log":"error","seeds":["` + seeds + `"]}`
	if err := os.WriteFile(file, []byte(doc), 0o600); err != nil {
		t.Fatal(err)
	}
}

// startControlDaemon starts a control daemon's process. SIGHUP stays caught after the test, since one that is delivered
// late would end the test binary.
func startControlDaemon(t *testing.T, settings string) *Process {
	t.Helper()
	p, code := Start(wire.ControlDaemon, []string{"-s", settings}, DefaultPlatform())
	if p == nil {
		t.Fatalf("Start failed with exit code %d", code)
	}
	t.Cleanup(func() { signal.Stop(p.stopSignals) })
	return p
}

// A SIGHUP during startup does not end the process. The settings are reloaded once it watches them, and changed seeds
// take effect, also after a reload that failed.
func TestReloadSignalDuringStartup(t *testing.T) {
	file := settingsFile(t, "127.0.0.1:3")
	p := startControlDaemon(t, file)
	writeSettings(t, file, "127.0.0.1:4")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil { // the default action would end this process
		t.Fatal(err)
	}
	got := make(chan []string, 4)
	p.WatchSettings(t.Context(), func(seeds []string) { got <- seeds })
	select {
	case seeds := <-got:
		if !slices.Equal(seeds, []string{"127.0.0.1:4"}) {
			t.Errorf("seeds %v, want the changed ones, 127.0.0.1:4", seeds)
		}
	case <-time.After(time.Minute):
		t.Fatal("changed seeds did not take effect")
	}
	writeSettings(t, file, strings.Repeat("x", 3)) // invalid, so the previous settings stay in effect
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	writeSettings(t, file, "127.0.0.1:5")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case seeds := <-got:
		if !slices.Equal(seeds, []string{"127.0.0.1:5"}) {
			t.Errorf("seeds %v, want those of the last valid settings, 127.0.0.1:5", seeds)
		}
	case <-time.After(time.Minute):
		t.Fatal("seeds changed after invalid settings did not take effect")
	}
}

// A daemon that is started with SIGHUP ignored, so that one can't end it before its program runs, reloads its settings on
// a later SIGHUP.
func TestReloadSignalThatWasIgnored(t *testing.T) {
	signal.Ignore(syscall.SIGHUP)
	file := settingsFile(t, "127.0.0.1:3")
	p := startControlDaemon(t, file)
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case <-p.reloadSignals:
	case <-time.After(time.Minute):
		t.Fatal("SIGHUP was not delivered")
	}
}

// A SIGTERM during startup leads to a normal shutdown: the daemon already serves callers before it handles signals, so
// it must not end at once.
func TestStopSignalDuringStartup(t *testing.T) {
	p := startControlDaemon(t, settingsFile(t, "127.0.0.1:3"))
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil { // the default action would end this process
		t.Fatal(err)
	}
	for len(p.stopSignals) == 0 {
		runtime.Gosched() // until the signal is delivered
	}
	p.HandleSignals(t.Context())
	select {
	case item := <-p.Loop.queue:
		if _, ok := item.event.(statemachine.Stop); !ok {
			t.Errorf("posted %T, want statemachine.Stop", item.event)
		}
	case <-time.After(time.Minute):
		t.Fatal("no Stop event was posted")
	}
}

// Start returns the right exit code for an invalid command line, invalid settings and --check.
func TestStartExitCodes(t *testing.T) {
	valid := settingsFile(t, "127.0.0.1:3")
	for name, c := range map[string]struct {
		args []string
		code int
	}{
		"unknown flag":     {[]string{"--nonsense"}, exitUsage},
		"no settings file": {[]string{"-s", valid + ".gone"}, exitUsage},
		"invalid settings": {[]string{"-s", valid, "--http", "nowhere"}, exitUsage},
		"check":            {[]string{"-s", valid, "--check"}, exitOK},
	} {
		t.Run(name, func(t *testing.T) {
			if p, code := Start(wire.ControlDaemon, c.args, DefaultPlatform()); p != nil || code != c.code {
				t.Errorf("returned a process: %v, exit code %d; want no process and exit code %d", p != nil, code, c.code)
			}
		})
	}
}
