package linearizability

import (
	"math"
	"strings"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
)

// endOfHistory comes after all calls that were replied to. Open calls that take no effect
// come after it only, so that they need not be tried at every moment.
var endOfHistory = &Operation{outcome: closing}

// Check returns an error if the calls are not linearizable, with the calls that end nearest
// to where no order can be found any more.
func (l *Log) Check() error {
	calls := l.relevant()
	var operations []porcupine.Operation
	for _, o := range calls {
		end := int64(o.repliedAt)
		if o.outcome == open {
			end = math.MaxInt64
		}
		operations = append(operations, porcupine.Operation{ClientId: len(operations), Input: o, Output: o, Call: int64(o.sentAt), Return: end})
	}
	operations = append(operations, porcupine.Operation{ClientId: len(operations), Input: endOfHistory, Output: endOfHistory, Call: math.MaxInt64 - 1, Return: math.MaxInt64})
	result, info := porcupine.CheckOperationsVerbose(register, operations, 0)
	if result == porcupine.Ok {
		return nil
	}
	return errors.Newf("%d calls are not linearizable:\n%s", len(operations), explain(calls, info))
}

// explainedCalls is how many calls are shown before and after the one that fits in no order.
const explainedCalls = 12

// explain shows the calls around the first one that fits in no longest order.
func explain(calls []*Operation, info porcupine.LinearizationInfo) string {
	fits := longestOrder(info)
	first := -1
	for i, o := range calls {
		if !fits[i] && o.outcome != open {
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

// longestOrder is the set of calls in the longest order that was found, by their indexes.
func longestOrder(info porcupine.LinearizationInfo) map[int]bool {
	fits := map[int]bool{}
	for _, partial := range info.PartialLinearizations() {
		for _, order := range partial {
			if len(order) <= len(fits) {
				continue
			}
			fits = map[int]bool{}
			for _, i := range order {
				fits[i] = true
			}
		}
	}
	return fits
}
