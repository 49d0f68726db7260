package tuning

import (
	"testing"
	"time"
)

// The sums of intervals and time-outs that the rules of docs/rules.md depend on, each with a push or a tick to spare.
func TestSumsOfTheRules(t *testing.T) {
	const push = 100 * time.Millisecond
	drift := func(d time.Duration) time.Duration { return d * 105 / 100 }
	for _, c := range []struct {
		what string
		sum  time.Duration
		max  time.Duration
	}{
		{"from a target's death to its ejection at every proxy", 2*ProbeEvery + ProbeTimeout + UrgentTableDelayMax + push, 2 * time.Second},
		{"from a proxy's suspicion of the leader to its own ejection, on peer leases", ProxyLease/2 + 2*ProbeEvery + ProbeTimeout + push, 2 * time.Second},
		{"from a target's last heartbeat until it no longer counts as alive by them", TargetHeartbeatTimeout + push, 2 * time.Second},
		{"from a change's commit until it is in force, with an isolated proxy", drift(ProxyLease) + LeaseMargin + push, 2 * time.Second},
		{"the same with a proxy that sends and receives nothing", TableAckTimeout + drift(ProxyLease) + LeaseMargin + push, 2 * time.Second},
		{"a peer lease's end, as the leader counts it from the majority's confirmation", drift(PeerLease) + TickEvery, PeerLease + LeaseMargin},
		{"a lease's end, as the leader counts it from the pull", drift(ProxyLease) + TickEvery, ProxyLease + LeaseMargin},
		{"the end of a leader's lease, before the next election", drift(LeaderLease) + TickEvery, ElectionTimeoutMin},
		{"the end of a leader whose disk stalls, before the next election", SyncStall + TickEvery, ElectionTimeoutMin},
		{"from a target's death to its ejection, its service named meanwhile", NewServiceSilence + NewServiceProbeSpread + ProbeEvery + ProbeTimeout + push, 2 * time.Second},
		{"the response of an indirect probe, before the leader's own probe is a miss", IndirectAfter + 2*TickEvery + push, ProbeTimeout},
		{"three lost heartbeats", 3*TargetHeartbeatEvery + TickEvery, TargetHeartbeatTimeout},
		{"peers asked before a lease lapses", PullEvery*2 + TickEvery, ProxyLease / 2},
		{"from a total loss to a leader that decides, a machine missing", 4*HelloEvery + BootstrapWait + 3*HelloEvery + ElectionTimeoutMin + ElectionTimeoutSpread + RecoveryWait + GatherTablesWait + FirstProxiesWait, 15 * time.Second},
		{"the retry window, in events of half a policy's window", RetryWindow / (PolicyWindow / 2), StatsEvery * 2},
	} {
		if c.sum > c.max {
			t.Errorf("%s: %v is over %v", c.what, c.sum, c.max)
		}
	}
	if RetryWindow > PolicyWindow*StatsEvery {
		t.Error("a policy's window of events does not reach back over the retry window")
	}
	if n := HistoryBytes + 2*DocumentMax + LogBytes + DocumentMax + ProposedBytesMax + DocumentMax; n > WALFileSize/2 {
		t.Errorf("a complete state may take %d bytes", n)
	}
}

// A lost member, also the leader, is replaced within the shortest time that settings allow from the start of its
// replacement, which may come at once; also after a split vote. A member is not replaced before it has had
// several chances to be heard.
func TestLostMemberIsReplacedInTime(t *testing.T) {
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
		{"three lost hellos and a late one", 4*HelloEvery + TickEvery, ReplaceAfterMin},
		{"the shortest time before a replacement, within the shortest repair", ReplaceAfterMin, shortest / ReplaceParts},
		{"a leader that stops: election, learning and both changes", ElectionTimeoutMin + ElectionTimeoutSpread + 10*HeartbeatEvery + changes, HandoverWait},
		{"both machines of a planned replacement", HandoverWait + time.Second, GrowAfter},
	} {
		if c.sum > c.max {
			t.Errorf("%s: %v is over %v", c.what, c.sum, c.max)
		}
	}
}

// A target that reports that it is leaving tries the next daemon after a second: the response must come before.
func TestLeavingReportIsAnsweredInTime(t *testing.T) {
	if TargetReportWait+2*TickEvery >= 900*time.Millisecond || TargetReportRetry >= TargetReportWait/2 || TargetReportWait <= 2*PullEvery {
		t.Errorf("%v, once more after %v", TargetReportWait, TargetReportRetry)
	}
}
