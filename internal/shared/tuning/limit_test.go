package tuning

import (
	"testing"
	"time"
)

// The sums that the rules rest on, each with a push's or a tick's worth to spare.
func TestSums(t *testing.T) {
	const push = 100 * time.Millisecond
	drift := func(d time.Duration) time.Duration { return d * 105 / 100 }
	for _, c := range []struct {
		what string
		sum  time.Duration
		max  time.Duration
	}{
		{"a target's death to its bar everywhere", 2*ProbeEvery + ProbeTimeout + UrgentTableDelayMax + push, 2 * time.Second},
		{"a proxy's doubt to its own bar, as an orphan", ProxyLease/2 + 2*ProbeEvery + ProbeTimeout + push, 2 * time.Second},
		{"silence until a target no longer counts as beating", TargetHeartbeatTimeout + push, 2 * time.Second},
		{"a change agreed to in force, with a proxy cut off", drift(ProxyLease) + LeaseMargin + push, 2 * time.Second},
		{"the same with a proxy that asks and hears nothing", TableAckTimeout + drift(ProxyLease) + LeaseMargin + push, 2 * time.Second},
		{"a touch's end, seen from the majority's stand", drift(PeerLease) + TickEvery, PeerLease + LeaseMargin},
		{"a grant's end, seen from the pull", drift(ProxyLease) + TickEvery, ProxyLease + LeaseMargin},
		{"the old leader's end, seen by members", drift(LeaderLease) + TickEvery, ElectionTimeoutMin},
		{"a stalled disk's leader's end", SyncStall + TickEvery, ElectionTimeoutMin},
		{"a death to its bar, the service named meanwhile", NewServiceSilence + NewServiceProbeSpread + ProbeEvery + ProbeTimeout + push, 2 * time.Second},
		{"an indirect probe's answer, before the leader's own is a miss", IndirectAfter + 2*TickEvery + push, ProbeTimeout},
		{"three beats lost at most", 3*TargetHeartbeatEvery + TickEvery, TargetHeartbeatTimeout},
		{"partners touched before a grant lapses", PullEvery*2 + TickEvery, ProxyLease / 2},
		{"from nothing to deciding, a machine gone", 4*HelloEvery + BootstrapWait + 3*HelloEvery + ElectionTimeoutMin + ElectionTimeoutSpread + RecoveryWait + GatherTablesWait + FirstProxiesWait, 15 * time.Second},
		{"a look back over the retry window in events", RetryWindow / (PolicyWindow / 2), StatsEvery * 2},
	} {
		if c.sum > c.max {
			t.Errorf("%s: %v is over %v", c.what, c.sum, c.max)
		}
	}
	if RetryWindow > PolicyWindow*StatsEvery {
		t.Error("events do not reach back over the window")
	}
	if n := HistoryBytes + 2*DocumentMax + LogBytes + DocumentMax + ProposedBytesMax + DocumentMax; n > WALFileSize/2 {
		t.Errorf("a whole state may take %d bytes", n)
	}
}

// A lost member, the leader too, is replaced within the shortest time that deployments
// give from the start of its successor, which may come at once: also after a split vote.
// A member is not replaced before it has had several chances to be heard.
func TestRepairInTime(t *testing.T) {
	const (
		shortest = 4 * time.Second
		change   = 100 * time.Millisecond // two syncs and a round trip, with room
	)
	changes := 3*MembersEvery + 2*change
	for _, c := range []struct {
		what string
		sum  time.Duration
		max  time.Duration
	}{
		{"a follower lost", shortest/ReplaceParts + MembersEvery + changes, shortest},
		{"the leader lost, the vote split", 2*(ElectionTimeoutMin+ElectionTimeoutSpread) + NewLeaderGrace + changes, shortest},
		{"everybody heard before anybody is silent for a new leader", 3*HelloEvery + TickEvery, NewLeaderGrace},
		{"three hellos lost and one late", 4*HelloEvery + TickEvery, ReplaceAfterMin},
		{"the shortest silence, under what the shortest bound gives", ReplaceAfterMin, shortest / ReplaceParts},
		{"a leader that stops: election, learning and both changes", ElectionTimeoutMin + ElectionTimeoutSpread + 10*HeartbeatEvery + changes, HandoverWait},
		{"both machines of a planned replacement", HandoverWait + time.Second, GrowAfter},
	} {
		if c.sum > c.max {
			t.Errorf("%s: %v is over %v", c.what, c.sum, c.max)
		}
	}
}

// Who says that it leaves goes to the next daemon after a second: the answer is there before.
func TestWordIsAnsweredInTime(t *testing.T) {
	if TargetReportWait+2*TickEvery >= 900*time.Millisecond || TargetReportRetry >= TargetReportWait/2 || TargetReportWait <= 2*PullEvery {
		t.Errorf("%v, once more after %v", TargetReportWait, TargetReportRetry)
	}
}
