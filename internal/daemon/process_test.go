package daemon

import (
	"myrtlefold/internal/shared/statemachine"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/alecthomas/kingpin/v2"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

func load(t *testing.T, kind wire.DaemonKind, doc string, over Settings) (Settings, []string) {
	t.Helper()
	f := filepath.Join(t.TempDir(), "set.json")
	if err := os.WriteFile(f, []byte(doc), 0o600); err != nil {
		t.Fatal(err)
	}
	s, _, faults, err := (&Flags{File: f, set: over}).Load(kind)
	if err != nil {
		t.Fatal(err)
	}
	var paths []string
	for _, x := range faults {
		paths = append(paths, x.Path)
	}
	slices.Sort(paths)
	return s, paths
}

// Every fault of the settings is named, flags go before the file, samples are sound.
func TestSettings(t *testing.T) {
	_, got := load(t, wire.ControlDaemon, `{"name":"a b","addr":"localhost:1","http":"0.0.0.0:1","seeds":["x"],"size":4,"listen":"127.0.0.1:3","log":"loud","odd":1,"bind":"here","from":"0.0.0.0"}`, Settings{})
	if want := []string{"addr", "bind", "data", "domain", "from", "http", "listen", "log", "name", "odd", "seeds[0]", "size"}; !slices.Equal(got, want) {
		t.Fatalf("%v", got)
	}
	for k, program := range programs {
		b, err := os.ReadFile("../../sample/" + program.name + ".json")
		if err != nil {
			t.Fatal(err)
		}
		s, got := load(t, k, string(b), Settings{Name: "other"})
		if len(got) > 0 || s.Name != "other" || s.Domain != "hill" {
			t.Fatal(k, got, s)
		}
	}
}

// The other samples of settings are sound too, and leave the core's size to the seeds.
func TestSampleSettings(t *testing.T) {
	for f, kind := range map[string]wire.DaemonKind{"mfcontrol-seeds": wire.ControlDaemon, "mfproxy-bounded": wire.ProxyDaemon} {
		b, err := os.ReadFile("../../sample/" + f + ".json")
		if err != nil {
			t.Fatal(err)
		}
		s, faults := load(t, kind, string(b), Settings{})
		if len(faults) > 0 || s.Size != 0 {
			t.Errorf("%s: %v, size %d", f, faults, s.Size)
		}
	}
}

// Sizes by flag go before the file's, also 0; what is not given is 3.
func TestSizeByFlag(t *testing.T) {
	base := []string{"--name", "c", "--domain", "d", "--addr", "127.0.0.1:1", "--http", "127.0.0.1:2", "--data", "x", "--seed", "127.0.0.1:1"}
	for _, c := range []struct {
		more  []string
		size  int
		found bool
	}{{nil, 3, false}, {[]string{"--size", "5"}, 5, false}, {[]string{"--size", "0", "--found"}, 0, true}} {
		f, app := &Flags{}, kingpin.New("x", "")
		f.Bind(app, wire.ControlDaemon)
		if _, err := app.Parse(append(c.more, base...)); err != nil {
			t.Fatal(err)
		}
		s, _, faults, err := f.Load(wire.ControlDaemon)
		if err != nil || len(faults) > 0 || s.Size != c.size || s.Bootstrap != c.found {
			t.Errorf("%v: %+v %v %v", c.more, s, faults, err)
		}
	}
}

// A member finds on its disk again what was synced, over many turns of the ring.
func TestDisk(t *testing.T) {
	h := &Process{Settings: Settings{Data: t.TempDir()}}
	h.Loop = &Loop{queue: make(chan item, tuning.EventQueue), host: h}
	d, img, err := h.OpenDisk()
	if err != nil || img.Disk == 0 {
		t.Fatal(err, img)
	}
	go d.Run()
	want := consensus.PersistentState{Disk: img.Disk}
	big := []byte(`{"op":"restore","name":"` + strings.Repeat("x", 100<<10) + `"}`) // an entry that decodes, and a state
	for i := range uint64(200) {
		b := &wire.Batch{Seq: i + 1, Entries: []wire.Entry{{Index: i + 1, Term: 1, Kind: consensus.EntryData, Data: big}}}
		if i%8 == 7 {
			b.Snapshot = &wire.Snapshot{Index: i, Term: 1, Data: big}
		}
		d.queue <- b
		want.ApplyBatch(b)
	}
	for seq := uint64(0); seq < 200; {
		it := <-h.Loop.queue
		seq = it.ev.(statemachine.Synced).Seq
	}
	_, got, err := h.OpenDisk()
	if err != nil || got.Disk != want.Disk || got.Snapshot.Index != want.Snapshot.Index || len(got.Log) != len(want.Log) || got.Log[0].Index != want.Log[0].Index {
		t.Fatalf("%v: %d %d", err, got.Snapshot.Index, len(got.Log))
	}
}

// A lack of descriptors ends no daemon; a listener that is gone does.
func TestAcceptErrorsThatPass(t *testing.T) {
	of := func(e error) error {
		return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", e)}
	}
	for _, c := range []struct {
		err  error
		want bool
	}{{of(syscall.EMFILE), true}, {of(syscall.ENFILE), true}, {of(syscall.ECONNABORTED), true}, {of(syscall.EINVAL), false}, {net.ErrClosed, false}, {nil, false}} {
		if passes(c.err) != c.want {
			t.Error(c.err)
		}
	}
}
