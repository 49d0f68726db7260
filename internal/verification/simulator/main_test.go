package simulator

import (
	"os"
	"runtime/debug"
	"testing"
)

// Worlds are small and short-lived, and many run at once: collecting less often takes
// a third of the time off.
func TestMain(m *testing.M) {
	debug.SetGCPercent(GCPercent)
	os.Exit(m.Run())
}
