// Package tuning defines the constants of the daemons: intervals, timeouts, limits, weights and defaults, each with its
// unit and the reason for its value. Constants that only one function uses are defined there, and operators' settings
// in packages config and daemon. The package contains no logic.
//
// Durations are time.Duration; sizes are in bytes unless the name or comment says otherwise. "The given design" is the
// one that docs/design.md begins with. "The 2 s rule" and the other rules are in docs/rules.md.
//
// Many values depend on each other: a rule such as "no request goes to a dead target after 2 s" limits a sum of
// intervals and timeouts. sums_test.go checks these sums and fails if a changed constant breaks one. The constants are
// grouped into files by subject; start with lease.go and healthcheck.go, on which the rules depend most.
package tuning
