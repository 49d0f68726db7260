package tuning

import "time"

// Processes.
const (
	// TickEvery is the interval of a state machine's ticks.
	TickEvery = 20 * time.Millisecond
	// EventQueue is the capacity of a state machine's event queue.
	EventQueue = 4096
	// SettingsEvery is how often a settings file is checked for changes.
	SettingsEvery = 2 * time.Second
	// MemoryShare is the fraction of a process's memory limit that the Go runtime may use.
	MemoryShare = 0.7
	// GCPercent is the garbage collector's target (GOGC), in percent of the live heap. It is below the default of 100,
	// since machines are small.
	GCPercent = 60
)
