package daemon

import "time"

// Clock is the time that a daemon's state machine is stepped with: monotonic, and the same for all parts of the process.
type Clock struct{ start time.Time }

// Now returns the time since the process started; it is never 0.
func (c *Clock) Now() time.Duration { return time.Since(c.start) + time.Millisecond }
