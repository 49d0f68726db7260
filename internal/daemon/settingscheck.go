// Validation of settings.

package daemon

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// faultList collects the faults found in settings.
type faultList struct{ list []config.Fault }

func (l *faultList) add(path, format string, arguments ...any) {
	l.list = append(l.list, config.Fault{Path: path, Text: fmt.Sprintf(format, arguments...)})
}

// checkReachable checks an address that other processes connect to.
func (l *faultList) checkReachable(path, addr string) {
	if parsed, err := netip.ParseAddrPort(addr); err != nil || parsed.Port() == 0 || parsed.Addr().IsUnspecified() {
		l.add(path, "%q is not IP:port with an address that others can reach", addr)
	}
}

// Check returns the faults of the settings of a daemon of the given kind. The paths are the names of the settings.
func (s *Settings) Check(kind wire.DaemonKind) []config.Fault {
	faults := &faultList{}
	if s.Name == "" || len(s.Name) > tuning.ItemNameMax || strings.ContainsAny(s.Name, " /\"") {
		faults.add("name", "must be 1 to %d characters without spaces, quotes or /", tuning.ItemNameMax)
	}
	if s.Domain == "" {
		faults.add("domain", "is required")
	}
	s.checkAddresses(faults)
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		faults.add("log", "%v", err)
	}
	s.checkNumbers(faults)
	switch kind {
	case wire.ControlDaemon:
		s.checkControl(faults)
	case wire.ProxyDaemon:
		s.checkProxy(faults)
	}
	return faults.list
}

func (s *Settings) checkAddresses(faults *faultList) {
	faults.checkReachable("addr", s.Addr)
	faults.checkReachable("http", s.HTTP)
	if s.Bind != "" {
		if parsed, err := netip.ParseAddrPort(s.Bind); err != nil || parsed.Port() == 0 {
			faults.add("bind", "%q is not IP:port", s.Bind)
		}
	}
	if s.LocalIP != "" {
		if ip, err := netip.ParseAddr(s.LocalIP); err != nil || ip.IsUnspecified() {
			faults.add("from", "%q is not a specific IP address", s.LocalIP)
		}
	}
	for i, seed := range s.Seeds {
		faults.checkReachable(fmt.Sprintf("seeds[%d]", i), seed)
	}
}

func (s *Settings) checkNumbers(faults *faultList) {
	for _, number := range []struct {
		path  string
		value float64
	}{
		{"memory_mb", float64(s.MemoryMb)},
		{"grace_ms", float64(s.GraceMs)},
		{"catch_up_ms", float64(s.CatchUpMs)},
		{"losses", float64(s.ToleratedLosses)},
		{"retry_ratio", s.RetryRatio},
		{"retry_window_ms", float64(s.RetryWindowMs)},
		{"retry_slack", float64(s.RetrySlack)},
	} {
		if !(number.value >= 0 && number.value <= math.MaxInt32+1) {
			faults.add(number.path, "%v is negative or too large", number.value)
		}
	}
}

func (s *Settings) checkControl(faults *faultList) {
	if s.Data == "" {
		faults.add("data", "is required: a control plane member needs a data directory")
	}
	if !slices.Contains([]int{0, 1, 3, 5}, s.Size) {
		faults.add("size", "must be 3 or 5 (1 for tests, 0 to bootstrap with the seeds), not %d", s.Size)
	}
	if s.Size == 0 && len(s.Seeds) == 0 {
		faults.add("seeds", "must not be empty if the size is 0")
	}
	if s.Size > 1 && len(s.Seeds) == 0 {
		faults.add("seeds", "must not be empty")
	}
	if s.Listen != "" {
		faults.add("listen", "must not be set for a control daemon")
	}
}

func (s *Settings) checkProxy(faults *faultList) {
	faults.checkReachable("listen", s.Listen)
	if len(s.Seeds) == 0 {
		faults.add("seeds", "must not be empty")
	}
	if s.Size != 0 {
		faults.add("size", "must not be set for a proxy")
	}
}
