package main

import "testing"

// The report of a run without violations has no field "examples".
func TestExamplesOfReportWithoutViolations(t *testing.T) {
	if l := examplesOf(map[string]any{"offered": 3.0}); len(l) != 0 {
		t.Errorf("report without examples: got %v, want none", l)
	}
	if l := examplesOf(map[string]any{"examples": []any{"late"}}); len(l) != 1 {
		t.Errorf("report with one example: got %v, want [late]", l)
	}
}
