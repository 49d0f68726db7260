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

var update = flag.Bool("update", false, "rewrite the golden files in testdata, only for an intended change of names")

// The names of commands, arguments and flags must stay the same as recorded in testdata.
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
		t.Fatalf("testdata/commands.txt differs from:\n%s", lines.Bytes())
	}
}
