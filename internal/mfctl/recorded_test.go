package mfctl

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kingpin/v2"
)

var update = flag.Bool("update", false, "record names anew, which only an intended change may need")

// The commands of mfctl keep their names, arguments and flags.
func TestCommandNames(t *testing.T) {
	app := kingpin.New("mfctl", "")
	(&cli{}).define(app)
	var lines bytes.Buffer
	var list func(name string, commands []*kingpin.CmdModel)
	list = func(name string, commands []*kingpin.CmdModel) {
		for _, c := range commands {
			full := name + " " + c.Name
			fmt.Fprint(&lines, full)
			for _, a := range c.Args {
				fmt.Fprintf(&lines, " %s required %v;", a.Name, a.Required)
			}
			for _, f := range c.Flags {
				fmt.Fprintf(&lines, " --%s default %q;", f.Name, f.Default)
			}
			fmt.Fprintln(&lines)
			list(full, c.Commands)
		}
	}
	list("mfctl", app.Model().Commands)
	file := filepath.Join("testdata", "commands.txt")
	if *update {
		if err := os.WriteFile(file, lines.Bytes(), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(lines.Bytes(), want) {
		t.Fatalf("commands differ from those recorded:\n%s", lines.Bytes())
	}
}
