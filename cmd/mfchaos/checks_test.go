package main

import "testing"

// A run in which all went as wanted has no examples in its report.
func TestExamplesOfACleanRun(t *testing.T) {
	if l := examplesOf(map[string]any{"offered": 3.0}); len(l) != 0 {
		t.Errorf("%v", l)
	}
	if l := examplesOf(map[string]any{"examples": []any{"late"}}); len(l) != 1 {
		t.Errorf("%v", l)
	}
}
