// Package daemon runs the state machines of the daemons: mfcontrol runs a controlplane.Controller, mfproxy a
// dataplane.Proxy. It holds all I/O around them: settings, the clock, the loop that steps a state machine on one
// goroutine, messages between daemons over TCP, health checks, the disk, the HTTP API, logs and metrics.
//
// Decisions about configuration, leadership and targets belong to the state machines. This package turns input into
// events (package statemachine) and executes the commands that the state machines return.
//
// Start reading at RunControl and RunProxy, then Process, which holds what the parts share, and Loop.
package daemon
