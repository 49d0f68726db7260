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

// allowedFunctions are the built-in functions of package expr that a condition may call. They take constant
// time.
var allowedFunctions = []string{"abs", "max", "min"}

// costlyOperators are the operators whose run time is not bounded by the size of the condition.
var costlyOperators = []string{"..", "matches", "**", "^"}

// costVisitor is a syntax tree visitor that finds costly operators and function calls in a condition.
type costVisitor struct{ found string } // the latest one found, "" if there is none

// Visit implements ast.Visitor.
func (v *costVisitor) Visit(node *ast.Node) {
	switch n := (*node).(type) {
	case *ast.BinaryNode:
		if slices.Contains(costlyOperators, n.Operator) {
			v.found = n.Operator
		}
	case *ast.BuiltinNode:
		v.found = n.Name
	}
}

// compile checks and compiles a condition on a signal. Its error comes from package expr, with line and column,
// or names an operator that is too costly.
func compile(signal config.Signal, condition string) (*vm.Program, error) {
	visitor := &costVisitor{}
	options := []expr.Option{
		expr.Env(environments[signal]),
		expr.AsBool(),
		expr.MaxNodes(tuning.PolicyNodes),
		expr.DisableAllBuiltins(),
		expr.Patch(visitor),
	}
	for _, name := range allowedFunctions {
		options = append(options, expr.EnableBuiltin(name))
	}
	program, err := expr.Compile(condition, options...)
	if err == nil && visitor.found != "" && !slices.Contains(allowedFunctions, visitor.found) {
		err = errors.Newf("%q is not allowed: its run time is not bounded by the size of the condition", visitor.found)
	}
	return program, err
}

// ParseConfig calls config.Parse with Check as the check for policies.
func ParseConfig(doc []byte) (*config.Config, []config.Fault, error) { return config.Parse(doc, Check) }

// Check validates a policy and returns its faults. Their paths are field names.
func Check(policy config.Policy) []config.Fault {
	var faults []config.Fault
	add := func(path, format string, args ...any) {
		faults = append(faults, config.Fault{Path: path, Text: fmt.Sprintf(format, args...)})
	}
	if _, ok := environments[policy.Signal]; !ok {
		add("slice", unknownSignal, policy.Signal)
	} else {
		faults = append(faults, checkCondition(policy.Signal, "when", policy.When)...)
		if policy.Clear != "" {
			faults = append(faults, checkCondition(policy.Signal, "clear", policy.Clear)...)
		}
	}
	ttl := time.Duration(policy.TTLMs) * time.Millisecond
	switch policy.Decide {
	case config.DecideEject:
		if ttl <= 0 || ttl > tuning.EjectionMaxTTL {
			add("ttl_ms", "a bar requires ttl_ms between 1 and %d", tuning.EjectionMaxTTL.Milliseconds())
		}
	case config.DecideDrain:
		if policy.TTLMs != 0 {
			add("ttl_ms", "must be 0 for a hold, which ends with its condition")
		}
	default:
		add("decide", "must be bar or hold, not %q", policy.Decide)
	}
	if !slices.Contains([]config.PolicyMode{config.ModeLive, config.ModeShadow, config.ModeOff}, policy.Mode) {
		add("mode", "must be live, shadow or off, not %q", policy.Mode)
	}
	return faults
}

// checkCondition returns the fault of the condition in the named field, nil if the condition compiles.
func checkCondition(signal config.Signal, field, condition string) []config.Fault {
	_, err := compile(signal, condition)
	if err == nil {
		return nil
	}
	text := err.Error()
	var located *file.Error
	if errors.As(err, &located) {
		text = fmt.Sprintf("line %d, column %d: %s", located.Line, located.Column+1, located.Message)
	}
	return []config.Fault{{Path: field, Text: text}}
}
