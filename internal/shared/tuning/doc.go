// Package tuning holds the constants of the daemons: intervals, time-outs, limits, weights and defaults,
// each with its unit and the reason for its value. Constants of one function stay there; operators'
// settings are in packages config and daemon. The package holds no logic.
//
// Durations are time.Duration, sizes are bytes if the name or comment does not say otherwise. "The given
// design" is the one that docs/design.md begins with; "the 2 s rule" and the others are in docs/rules.md.
//
// Many values depend on each other: a rule such as "no request goes to a dead target after 2 s" is a sum of
// intervals and time-outs. sums_test.go has these sums and fails if a changed constant breaks one. The
// constants are in a file a concern: begin with lease.go and healthcheck.go, on which the rules
// depend most.
package tuning
