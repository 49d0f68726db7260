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

// settingsFile is a control daemon's, in a folder of its own.
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

// startControlDaemon starts a control daemon's process. It goes on to catch SIGHUP after the test, since one may still be
// on its way and would end the tests.
func startControlDaemon(t *testing.T, settings string) *Process {
	t.Helper()
	p, code := Start(wire.ControlDaemon, []string{"-s", settings}, DefaultPlatform())
	if p == nil {
		t.Fatalf("exit code %d", code)
	}
	t.Cleanup(func() { signal.Stop(p.stops) })
	return p
}

// A SIGHUP that comes while a daemon starts does not end it, and the changed settings are read once it watches them:
// seeds that differ later are taken.
func TestHangupWhileStarting(t *testing.T) {
	file := settingsFile(t, "127.0.0.1:3")
	p := startControlDaemon(t, file)
	writeSettings(t, file, "127.0.0.1:4")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil { // would end this process by default
		t.Fatal(err)
	}
	got := make(chan []string, 4)
	p.WatchSettings(t.Context(), func(seeds []string) { got <- seeds })
	select {
	case seeds := <-got:
		if !slices.Equal(seeds, []string{"127.0.0.1:4"}) {
			t.Error(seeds)
		}
	case <-time.After(time.Minute):
		t.Fatal("changed seeds were not taken")
	}
	writeSettings(t, file, strings.Repeat("x", 3)) // invalid: the previous ones stay
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
			t.Error(seeds)
		}
	case <-time.After(time.Minute):
		t.Fatal("seeds changed after invalid settings were not taken")
	}
}

// A SIGTERM that comes while a daemon starts does not end it at once: it serves callers before it waits for signals,
// and stops as at any time.
func TestStopWhileStarting(t *testing.T) {
	p := startControlDaemon(t, settingsFile(t, "127.0.0.1:3"))
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil { // would end this process by default
		t.Fatal(err)
	}
	for len(p.stops) == 0 {
		runtime.Gosched() // until it has arrived
	}
	p.HandleSignals(t.Context())
	select {
	case item := <-p.Loop.queue:
		if _, ok := item.event.(statemachine.Stop); !ok {
			t.Errorf("%T", item.event)
		}
	case <-time.After(time.Minute):
		t.Fatal("the state machine was not asked to stop")
	}
}

// A command line or settings that can't be used end the process with their exit code.
func TestExitCodesOfAStart(t *testing.T) {
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
				t.Errorf("exit code %d, want %d", code, c.code)
			}
		})
	}
}
