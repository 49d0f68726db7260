// Package tuning holds every constant of the system with its unit and reason.
// The sums that the rules depend on are written beside the constants that make
// them up; a change here is checked against them by the tests in this package.
package tuning
