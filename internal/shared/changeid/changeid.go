// Package changeid generates ids of operators' changes. mfctl assigns an id to each change before it sends it, so that
// daemons recognise a change that is sent again. A change without an id gets one from the daemon that receives it.
package changeid

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// New returns a new id. It consists of the wall-clock time in UTC, for readability, and 32 random bits.
func New() string {
	return fmt.Sprintf("%s-%08x", time.Now().UTC().Format("20060102T150405Z"), rand.Uint32())
}
