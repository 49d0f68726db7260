// This file compiles and checks policies and their conditions.

package policy

import (
	"fmt"
	"slices"
	"time"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/vm"

	"github.com/cockroachdb/errors"

	"myrtlefold/limit"
	"myrtlefold/model"
)

type looper struct{ found string }

func (l *looper) Visit(n *ast.Node) {
	switch b := (*n).(type) {
	case *ast.BinaryNode:
		if b.Operator == ".." || b.Operator == "matches" || b.Operator == "**" || b.Operator == "^" {
			l.found = b.Operator
		}
	case *ast.BuiltinNode:
		l.found = b.Name
	}
}

func compile(slice, cond string) (*vm.Program, error) {
	l := &looper{}
	p, err := expr.Compile(cond, expr.Env(envs[slice]), expr.AsBool(), expr.MaxNodes(limit.PolicyNodes),
		expr.DisableAllBuiltins(), expr.EnableBuiltin("abs"), expr.EnableBuiltin("max"), expr.EnableBuiltin("min"), expr.Patch(l))
	if err == nil && l.found != "" && !slices.Contains([]string{"abs", "max", "min"}, l.found) {
		err = errors.Newf("%q costs too much to be used here", l.found)
	}
	return p, err
}

// Check lists a policy's faults by field.
func Check(p model.Policy) []model.Fault {
	var fs []model.Fault
	add := func(path, f string, a ...any) {
		fs = append(fs, model.Fault{Path: path, Text: fmt.Sprintf(f, a...)})
	}
	if _, ok := envs[p.Slice]; !ok {
		add("slice", "no slice %q: probe, beat, exchange or demand", p.Slice)
	} else {
		for _, c := range []struct{ f, s string }{{"when", p.When}, {"clear", p.Clear}} {
			if c.s == "" && c.f == "clear" {
				continue
			}
			if _, err := compile(p.Slice, c.s); err != nil {
				var fe *file.Error
				if errors.As(err, &fe) {
					add(c.f, "line %d, column %d: %s", fe.Line, fe.Column+1, fe.Message)
				} else {
					add(c.f, "%v", err)
				}
			}
		}
	}
	ttl := time.Duration(p.TTLMs) * time.Millisecond
	switch p.Decide {
	case "bar":
		if ttl <= 0 || ttl > limit.EjectionMaxTTL {
			add("ttl_ms", "a bar needs a ttl_ms between 1 and %d", limit.EjectionMaxTTL.Milliseconds())
		}
	case "hold":
		if p.TTLMs != 0 {
			add("ttl_ms", "a hold has none: it ends with its condition")
		}
	default:
		add("decide", "bar or hold, not %q", p.Decide)
	}
	if !slices.Contains([]string{"live", "shadow", "off"}, p.Mode) {
		add("mode", "live, shadow or off, not %q", p.Mode)
	}
	return fs
}

// CheckConfig is model.Parse with the judge's check of policies.
func CheckConfig(doc []byte) (*model.Config, []model.Fault, error) { return model.Parse(doc, Check) }
