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

// A jump of the wall clock must not change what daemons do. State machines are given the time with each event, so they
// must not read a clock, draw random numbers, do I/O or start goroutines. The I/O code around them may use wall time only
// to generate ids.
func TestStateMachinesReadNoClock(t *testing.T) {
	t.Parallel()
	stateMachineDirs := []string{"controlplane", "dataplane", "shared/outlier", "controlplane/consensus",
		"shared/state", "shared/discovery", "shared/targetreport", "shared/reply", "shared/statemachine"}
	forbiddenImports := []string{"math/rand", "math/rand/v2", "os", "net", "net/http", "sync", "sync/atomic", "context"}
	wallTimeMethods := []string{"Unix", "UnixNano", "UnixMilli", "UnixMicro", "UTC", "Local", "Date", "Clock", "Format", "Round", "Truncate"}
	allowedUses := map[string]int{"../../shared/changeid/changeid.go": 2} // by file; a change's id begins with the date
	for _, dir := range append(slices.Clone(stateMachineDirs), "dataplane/reverseproxy", "daemon", "mfctl", "shared/changeid", "shared/gracefulclose", "controlplane/wal", "shared/wire", "shared/config") {
		files, _ := filepath.Glob("../../" + dir + "/*.go")
		if len(files) == 0 {
			t.Fatalf("no Go files in %s", dir)
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
				if p := strings.Trim(i.Path.Value, `"`); slices.Contains(stateMachineDirs, dir) && slices.Contains(forbiddenImports, p) {
					t.Errorf("%s imports %s, which a state machine must not", f, p)
				}
			}
			wallTimeUses := 0
			ast.Inspect(file, func(n ast.Node) bool {
				if _, ok := n.(*ast.GoStmt); ok && slices.Contains(stateMachineDirs, dir) {
					t.Errorf("%s: a state machine starts a goroutine", set.Position(n.Pos()))
				}
				c, ok := n.(*ast.CallExpr)
				if !ok {
					return true
				}
				s, ok := c.Fun.(*ast.SelectorExpr)
				if !ok {
					return true
				}
				if x, ok := s.X.(*ast.Ident); ok && x.Name == "time" && slices.Contains(stateMachineDirs, dir) && s.Sel.Name != "Duration" {
					t.Errorf("%s: a state machine calls time.%s", set.Position(n.Pos()), s.Sel.Name)
				}
				if slices.Contains(wallTimeMethods, s.Sel.Name) && !slices.Contains([]string{"Round", "Truncate"}, s.Sel.Name) {
					wallTimeUses++
				}
				return true
			})
			if wallTimeUses > allowedUses[f] {
				t.Errorf("%s uses wall time %d times, at most %d are allowed", f, wallTimeUses, allowedUses[f])
			}
		}
	}
}
