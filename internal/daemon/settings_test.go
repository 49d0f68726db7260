package daemon

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/alecthomas/kingpin/v2"

	"myrtlefold/internal/shared/wire"
)

// loadSettings loads settings from a file with the text doc and from the given flags. It returns them and the sorted
// paths of their faults.
func loadSettings(t *testing.T, kind wire.DaemonKind, doc string, given Settings) (Settings, []string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "set.json")
	if err := os.WriteFile(file, []byte(doc), 0o600); err != nil {
		t.Fatal(err)
	}
	loaded, err := (&Flags{File: file, given: given}).Load(kind)
	if err != nil {
		t.Fatal(err)
	}
	var paths []string
	for _, fault := range loaded.Faults {
		paths = append(paths, fault.Path)
	}
	slices.Sort(paths)
	return loaded.Settings, paths
}

// Every fault of invalid settings is reported, the sample settings are valid, and flags override the file.
func TestSettings(t *testing.T) {
	_, got := loadSettings(t, wire.ControlDaemon, `{"name":"a b","addr":"localhost:1","http":"0.0.0.0:1","seeds":["x"],"size":4,"listen":"127.0.0.1:3","log":"loud","odd":1,"bind":"here","from":"0.0.0.0"}`, Settings{})
	if want := []string{"addr", "bind", "data", "domain", "from", "http", "listen", "log", "name", "odd", "seeds[0]", "size"}; !slices.Equal(got, want) {
		t.Fatalf("faults of %v, want %v", got, want)
	}
	for kind, program := range programs {
		b, err := os.ReadFile("../../sample/" + program.name + ".json")
		if err != nil {
			t.Fatal(err)
		}
		s, got := loadSettings(t, kind, string(b), Settings{Name: "other"})
		if len(got) > 0 || s.Name != "other" || s.Domain != "hill" {
			t.Fatalf("sample of %s: faults %v, settings %+v; want no faults, name other and domain hill", kind, got, s)
		}
	}
}

// The other sample settings are valid too and don't set the size of the control plane.
func TestSampleSettings(t *testing.T) {
	for file, kind := range map[string]wire.DaemonKind{"mfcontrol-seeds": wire.ControlDaemon, "mfproxy-bounded": wire.ProxyDaemon} {
		b, err := os.ReadFile("../../sample/" + file + ".json")
		if err != nil {
			t.Fatal(err)
		}
		s, faults := loadSettings(t, kind, string(b), Settings{})
		if len(faults) > 0 || s.Size != 0 {
			t.Errorf("%s: faults %v, size %d; want no faults and size 0", file, faults, s.Size)
		}
	}
}

// The flag --size sets the size of the control plane, also to 0. Without it the size is 3.
func TestSizeByFlag(t *testing.T) {
	base := []string{"--name", "c", "--domain", "d", "--addr", "127.0.0.1:1", "--http", "127.0.0.1:2", "--data", "x", "--seed", "127.0.0.1:1"}
	for _, c := range []struct {
		args      []string
		size      int
		bootstrap bool
	}{{nil, 3, false}, {[]string{"--size", "5"}, 5, false}, {[]string{"--size", "0", "--found"}, 0, true}} {
		flags, app := &Flags{}, kingpin.New("x", "")
		flags.Bind(app, wire.ControlDaemon)
		if _, err := app.Parse(append(c.args, base...)); err != nil {
			t.Fatal(err)
		}
		loaded, err := flags.Load(wire.ControlDaemon)
		if s := loaded.Settings; err != nil || len(loaded.Faults) > 0 || s.Size != c.size || s.Bootstrap != c.bootstrap {
			t.Errorf("flags %v: settings %+v, faults %v, error %v; want size %d, bootstrap %v and no faults", c.args, s, loaded.Faults, err, c.size, c.bootstrap)
		}
	}
}
