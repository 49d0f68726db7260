package simulator

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// Clocks that jump change nothing: state machines are given the time and read no clock, draw
// no random number and do no I/O; and the shells use wall time only to name things.
func TestStateMachinesReadNoClock(t *testing.T) {
	t.Parallel()
	owners := []string{"controlplane", "dataplane", "shared/outlier", "controlplane/consensus",
		"shared/state", "shared/discovery", "shared/targetreport", "shared/reply", "shared/statemachine"}
	barred := []string{"math/rand", "math/rand/v2", "os", "net", "net/http", "sync", "sync/atomic", "context"}
	wall := []string{"Unix", "UnixNano", "UnixMilli", "UnixMicro", "UTC", "Local", "Date", "Clock", "Format", "Round", "Truncate"}
	naming := map[string]int{"../../shared/changeid/changeid.go": 2} // a change's id begins with the date
	for _, dir := range append(slices.Clone(owners), "dataplane/reverseproxy", "daemon", "mfctl", "shared/changeid", "controlplane/wal", "shared/wire", "shared/config") {
		files, _ := filepath.Glob("../../" + dir + "/*.go")
		if len(files) == 0 {
			t.Fatal("no files in", dir)
		}
		for _, f := range files {
			if strings.HasSuffix(f, "_test.go") || strings.HasSuffix(f, ".capnp.go") {
				continue
			}
			set := token.NewFileSet()
			file, err := parser.ParseFile(set, f, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			for _, i := range file.Imports {
				if p := strings.Trim(i.Path.Value, `"`); slices.Contains(owners, dir) && slices.Contains(barred, p) {
					t.Errorf("%s imports %s", f, p)
				}
			}
			walls := 0
			ast.Inspect(file, func(n ast.Node) bool {
				if _, ok := n.(*ast.GoStmt); ok && slices.Contains(owners, dir) {
					t.Errorf("%s starts a goroutine", set.Position(n.Pos()))
				}
				c, ok := n.(*ast.CallExpr)
				if !ok {
					return true
				}
				s, ok := c.Fun.(*ast.SelectorExpr)
				if !ok {
					return true
				}
				if x, ok := s.X.(*ast.Ident); ok && x.Name == "time" && slices.Contains(owners, dir) && s.Sel.Name != "Duration" {
					t.Errorf("%s: an owner calls time.%s", set.Position(n.Pos()), s.Sel.Name)
				}
				if slices.Contains(wall, s.Sel.Name) && !slices.Contains([]string{"Round", "Truncate"}, s.Sel.Name) {
					walls++
				}
				return true
			})
			if walls > naming[f] {
				t.Errorf("%s looks at wall time %d times, %d are for names", f, walls, naming[f])
			}
		}
	}
}
