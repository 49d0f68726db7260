// Package changeid makes the ids by which operators' changes are known. mfctl names each change
// before it sends it, so that a change that is sent again is recognised; daemons name those that
// come without an id.
package changeid

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// New returns an id that no other change has: the wall-clock time in UTC, for people, and 32 random bits.
func New() string {
	return fmt.Sprintf("%s-%08x", time.Now().UTC().Format("20060102T150405Z"), rand.Uint32())
}
