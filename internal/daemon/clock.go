package daemon

import "time"

// Clock is the monotonic clock that all parts of a daemon's process share. The state machine is stepped with its time.
type Clock struct{ start time.Time }

// Now returns the time since the process started; it is never 0.
func (c *Clock) Now() time.Duration { return time.Since(c.start) + time.Millisecond }
