// This file compiles and checks policies and their conditions.

package outlier

import (
	"fmt"
	"slices"
	"time"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/vm"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
)

// allowed are the functions of the library that a condition may call. They take the same time
// whatever they are given.
var allowed = []string{"abs", "max", "min"}

// costly finds operators and functions in a condition whose time is not bounded by its size.
type costly struct{ found string }

// Visit looks at one node of the condition's tree.
func (l *costly) Visit(n *ast.Node) {
	switch b := (*n).(type) {
	case *ast.BinaryNode:
		if b.Operator == ".." || b.Operator == "matches" || b.Operator == "**" || b.Operator == "^" {
			l.found = b.Operator
		}
	case *ast.BuiltinNode:
		l.found = b.Name
	}
}

// compile checks a condition on a slice and compiles it.
func compile(slice config.Slice, condition string) (*vm.Program, error) {
	l := &costly{}
	options := []expr.Option{expr.Env(facts[slice]), expr.AsBool(), expr.MaxNodes(tuning.PolicyNodes), expr.DisableAllBuiltins(), expr.Patch(l)}
	for _, name := range allowed {
		options = append(options, expr.EnableBuiltin(name))
	}
	p, err := expr.Compile(condition, options...)
	if err == nil && l.found != "" && !slices.Contains(allowed, l.found) {
		err = errors.Newf("%q costs too much to be used here", l.found)
	}
	return p, err
}

// Check returns a policy's faults by the names of its fields.
func Check(p config.Policy) []config.Fault {
	var faults []config.Fault
	add := func(path, f string, a ...any) {
		faults = append(faults, config.Fault{Path: path, Text: fmt.Sprintf(f, a...)})
	}
	if _, ok := facts[p.Slice]; !ok {
		add("slice", unknownSlice, p.Slice)
	} else {
		faults = append(faults, checkCondition(p.Slice, "when", p.When)...)
		if p.Clear != "" {
			faults = append(faults, checkCondition(p.Slice, "clear", p.Clear)...)
		}
	}
	ttl := time.Duration(p.TTLMs) * time.Millisecond
	switch p.Decide {
	case config.DecideEject:
		if ttl <= 0 || ttl > tuning.EjectionMaxTTL {
			add("ttl_ms", "a bar needs a ttl_ms between 1 and %d", tuning.EjectionMaxTTL.Milliseconds())
		}
	case config.DecideDrain:
		if p.TTLMs != 0 {
			add("ttl_ms", "a hold has none: it ends with its condition")
		}
	default:
		add("decide", "bar or hold, not %q", p.Decide)
	}
	if !slices.Contains([]config.PolicyMode{config.ModeLive, config.ModeShadow, config.ModeOff}, p.Mode) {
		add("mode", "live, shadow or off, not %q", p.Mode)
	}
	return faults
}

// checkCondition returns the fault of the condition in a field, if it has one.
func checkCondition(slice config.Slice, field, condition string) []config.Fault {
	_, err := compile(slice, condition)
	if err == nil {
		return nil
	}
	text := err.Error()
	var at *file.Error
	if errors.As(err, &at) {
		text = fmt.Sprintf("line %d, column %d: %s", at.Line, at.Column+1, at.Message)
	}
	return []config.Fault{{Path: field, Text: text}}
}

// ParseConfig is config.Parse with the check of policies, and returns the same.
func ParseConfig(doc []byte) (*config.Config, []config.Fault, error) { return config.Parse(doc, Check) }
