package tuning

import "time"

// Processes.
const (
	// TickEvery is the interval of a state machine's ticks.
	TickEvery = 20 * time.Millisecond
	// EventQueue is how many events may wait for a state machine.
	EventQueue = 4096
	// SettingsEvery is how often a settings file is checked for changes.
	SettingsEvery = 2 * time.Second
	// MemoryShare is the part of a process's memory limit that the Go runtime may use.
	MemoryShare = 0.7
	// GCPercent is the garbage collector's target (GOGC), in percent of the live memory: under the default of 100,
	// since machines are small.
	GCPercent = 60
)
