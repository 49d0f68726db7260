// Package changeid makes the ids of operators' changes. mfctl gives each change its id before it sends it,
// so that daemons recognise a change that is sent again; a change without an id gets one from the daemon.
package changeid

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// New returns a new id: the wall-clock time in UTC, for people, and 32 random bits.
func New() string {
	return fmt.Sprintf("%s-%08x", time.Now().UTC().Format("20060102T150405Z"), rand.Uint32())
}
