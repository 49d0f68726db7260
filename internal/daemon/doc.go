// Package daemon runs the state machines of the daemons: mfcontrol runs a controlplane.Controller, mfproxy a
// dataplane.Proxy. It holds all I/O around them: settings, the clock, the loop that steps a state machine on one
// goroutine, messages between daemons over TCP, health checks, the disk, the HTTP API, logs and metrics.
//
// It decides nothing about configuration, leadership or targets: that is the state machines' part. What it reads
// becomes an event (package statemachine), and it carries out the commands that they return.
//
// Begin with RunControl and RunProxy, then Process, which the parts share, and Loop.
package daemon
