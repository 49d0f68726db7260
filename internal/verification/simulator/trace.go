package simulator

import (
	"fmt"
	"strings"
)

// trace is the log of a run.
type trace struct {
	lines []string
	hash  uint64 // hash over all lines
}

// hashPrime is the prime of the 64-bit FNV hash.
const hashPrime = 1099511628211

// logf adds a line to the trace.
func (w *World) logf(format string, a ...any) {
	line := fmt.Sprintf("%9.3f ", w.now.Seconds()) + fmt.Sprintf(format, a...)
	w.trace.lines = append(w.trace.lines, line)
	for _, b := range []byte(line) {
		w.trace.hash = w.trace.hash*hashPrime + uint64(b)
	}
}

// Hash returns a hash of the whole trace and the number of events, to compare two runs.
func (w *World) Hash() uint64 { return w.trace.hash + uint64(w.Stats.Steps) }

// Trace returns the last lines of the trace.
func (w *World) Trace(lines int) string {
	return strings.Join(w.trace.lines[max(0, len(w.trace.lines)-lines):], "\n")
}
