package linearizability

import (
	"math"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
)

// endOfHistory is an operation after all completed calls. Open calls that never take effect are ordered after it, so
// that the search need not consider a call without effect at every earlier point.
var endOfHistory = &Operation{outcome: historyEnd}

// searchLimit bounds the search for an order of the calls. It may not end for a long history that is wrong.
const searchLimit = 2 * time.Minute

// ErrNotDecided marks the error for a history whose search was ended by searchLimit. It counts as a failure.
var ErrNotDecided = errors.New("not decided whether the calls are linearizable")

// Check returns an error if the calls are not linearizable, or if that was not decided. The error lists the calls around the first one that the
// longest linearizable prefix found does not contain.
func (h *History) Check() error {
	calls := h.relevantOperations()
	var operations []porcupine.Operation
	for _, o := range calls {
		end := int64(o.repliedAt)
		if o.outcome == open {
			end = math.MaxInt64
		}
		operations = append(operations, porcupine.Operation{ClientId: len(operations), Input: o, Output: o, Call: int64(o.sentAt), Return: end})
	}
	operations = append(operations, porcupine.Operation{ClientId: len(operations), Input: endOfHistory, Output: endOfHistory, Call: math.MaxInt64 - 1, Return: math.MaxInt64})
	result, info := porcupine.CheckOperationsVerbose(register, operations, searchLimit)
	return errorOf(result, info, calls)
}

// errorOf returns the error for the result of a search for an order of the calls, nil if there is one.
func errorOf(result porcupine.CheckResult, info porcupine.LinearizationInfo, calls []*Operation) error {
	switch result {
	case porcupine.Ok:
		return nil
	case porcupine.Unknown:
		return errors.Wrapf(ErrNotDecided, "%d calls, %v", len(calls), searchLimit)
	}
	return errors.Newf("%d calls are not linearizable:\n%s", len(calls), explain(calls, info))
}

// explainedCalls is the number of calls shown before and after the first one that cannot be linearized.
const explainedCalls = 12

// explain lists the calls around the first completed call that is missing from the longest linearizable order found, and
// marks that call with >.
func explain(calls []*Operation, info porcupine.LinearizationInfo) string {
	ordered := longestOrder(info)
	first := -1
	for i, o := range calls {
		if !ordered[i] && o.outcome != open {
			first = i
			break
		}
	}
	if first < 0 {
		return ""
	}
	var lines []string
	for i := max(0, first-explainedCalls); i < min(len(calls), first+explainedCalls+1); i++ {
		marker := "  "
		if i == first {
			marker = "> "
		}
		lines = append(lines, marker+calls[i].String())
	}
	return strings.Join(lines, "\n")
}

// longestOrder returns the indexes of the calls in the longest partial linearization that was found.
func longestOrder(info porcupine.LinearizationInfo) map[int]bool {
	ordered := map[int]bool{}
	for _, partial := range info.PartialLinearizations() {
		for _, order := range partial {
			if len(order) <= len(ordered) {
				continue
			}
			ordered = map[int]bool{}
			for _, i := range order {
				ordered[i] = true
			}
		}
	}
	return ordered
}
