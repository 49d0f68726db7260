package daemon

import (
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// settingsFile is a core member's, on its own folder.
func settingsFile(t *testing.T, seeds string) string {
	t.Helper()
	f := filepath.Join(t.TempDir(), "set.json")
	writeSettings(t, f, seeds)
	return f
}

func writeSettings(t *testing.T, f, seeds string) {
	t.Helper()
	doc := `{"name":"c","domain":"d","addr":"127.0.0.1:1","http":"127.0.0.1:2","data":"x","size":3,"log":"error","seeds":["` + seeds + `"]}`
	if err := os.WriteFile(f, []byte(doc), 0o600); err != nil {
		t.Fatal(err)
	}
}

// A SIGHUP that comes while a daemon starts does not end it, and the changed settings are
// looked at once it watches them: seeds that differ later are taken.
func TestHangupWhileStarting(t *testing.T) {
	f := settingsFile(t, "127.0.0.1:3")
	h := Start(wire.ControlDaemon, []string{"-s", f}, DefaultPlatform())
	writeSettings(t, f, "127.0.0.1:4")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil { // would end this process by default
		t.Fatal(err)
	}
	got := make(chan []string, 4)
	h.WatchSettings(func(seeds []string) { got <- seeds })
	select {
	case seeds := <-got:
		if !slices.Equal(seeds, []string{"127.0.0.1:4"}) {
			t.Error(seeds)
		}
	case <-time.After(time.Minute):
		t.Fatal("changed seeds were not taken")
	}
	writeSettings(t, f, strings.Repeat("x", 3)) // unsound: the old ones stay
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	writeSettings(t, f, "127.0.0.1:5")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case seeds := <-got:
		if !slices.Equal(seeds, []string{"127.0.0.1:5"}) {
			t.Error(seeds)
		}
	case <-time.After(time.Minute):
		t.Fatal("seeds changed after unsound settings were not taken")
	}
}

// A SIGTERM that comes while a daemon starts does not end it at once: it serves callers before it waits for
// signals, and stops as at any time.
func TestStopWhileStarting(t *testing.T) {
	h := Start(wire.ControlDaemon, []string{"-s", settingsFile(t, "127.0.0.1:3")}, DefaultPlatform())
	t.Cleanup(func() { signal.Stop(h.stops) })
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil { // would end this process by default
		t.Fatal(err)
	}
	for len(h.stops) == 0 {
		runtime.Gosched() // until it has arrived
	}
	h.HandleSignals()
	select {
	case it := <-h.Loop.queue:
		if _, ok := it.ev.(statemachine.Stop); !ok {
			t.Errorf("%T", it.ev)
		}
	case <-time.After(time.Minute):
		t.Fatal("the owner was not told to stop")
	}
}
