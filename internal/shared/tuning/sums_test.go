package tuning

import (
	"testing"
	"time"
)

// The sums of intervals and timeouts on which the rules of docs/rules.md depend stay within their limits. Each sum
// includes a push or a tick as reserve. The test fails if a constant is changed without regard to the others.
func TestSumsOfTheRules(t *testing.T) {
	const push = 100 * time.Millisecond
	drift := func(d time.Duration) time.Duration { return d * 105 / 100 }
	for _, c := range []struct {
		what string
		sum  time.Duration
		max  time.Duration
	}{
		{"from a target's death to its ejection at every proxy", 2*ProbeEvery + ProbeTimeout + UrgentTableDelayMax + push, 2 * time.Second},
		{"from a target's death to its ejection by a proxy without a leader, on peer leases", ProxyLease/2 + 2*ProbeEvery + ProbeTimeout + push, 2 * time.Second},
		{"from a target's last heartbeat until it no longer counts as alive by its heartbeats", TargetHeartbeatTimeout + push, 2 * time.Second},
		{"from a change's commit until it is in force, one proxy being isolated", drift(ProxyLease) + LeaseMargin + push, 2 * time.Second},
		{"from a change's commit until it is in force, one proxy sending but not receiving", TableAckTimeout + drift(ProxyLease) + LeaseMargin + push, 2 * time.Second},
		{"the end of a peer lease at the proxy, before the leader counts it as expired after the majority's confirmation", drift(PeerLease) + TickEvery, PeerLease + LeaseMargin},
		{"the end of a lease at the proxy, before the leader counts it as expired after the pull", drift(ProxyLease) + TickEvery, ProxyLease + LeaseMargin},
		{"the end of a leader's lease, before the next election timeout", drift(LeaderLease) + TickEvery, ElectionTimeoutMin},
		{"a leader with a stalled disk stops deciding, before the next election timeout", SyncStall + TickEvery, ElectionTimeoutMin},
		{"from a target's death to its ejection, if its service is added to the configuration in between", UnprobedHeartbeatTimeout + NewServiceProbeSpread + ProbeEvery + ProbeTimeout + push, 2 * time.Second},
		{"the response of an indirect probe, before the leader's own probe times out", IndirectAfter + 2*TickEvery + push, ProbeTimeout},
		{"three lost heartbeats, before the heartbeat timeout", 3*TargetHeartbeatEvery + TickEvery, TargetHeartbeatTimeout},
		{"two rounds of peer lease requests, before half the leader's lease is over", PullEvery*2 + TickEvery, ProxyLease / 2},
		{"from the loss of all members to a leader that decides, one machine missing", 4*HelloEvery + BootstrapWait + 3*HelloEvery + ElectionTimeoutMin + ElectionTimeoutSpread + RecoveryWait + GatherTablesWait + FirstProxiesWait, 15 * time.Second},
		{"a caller that reads nothing is cut off, before a proxy that shuts down stops to accept requests", ShutdownStallTimeout + 2*CloseCheckInterval, ShutdownLingerMax},
		{"from the end of a shutdown's linger time until connections of silent callers are closed", CloseStallTimeout + 2*CloseCheckInterval, time.Second},
		{"the event interval at which half a policy's window covers the retry window", RetryWindow / (PolicyWindow / 2), StatsEvery * 2},
	} {
		if c.sum > c.max {
			t.Errorf("%s: the sum is %v, want at most %v", c.what, c.sum, c.max)
		}
	}
	if RetryWindow > PolicyWindow*StatsEvery {
		t.Error("a policy's window of events does not cover the retry window")
	}
	if n := HistoryBytes + 2*DocumentMax + LogBytes + DocumentMax + ProposedBytesMax + DocumentMax; n > WALFileSize/2 {
		t.Errorf("a complete state may take %d bytes, more than half of a WAL file", n)
	}
}

// A lost member is replaced within the shortest catch-up time that settings allow, counted from the start of its
// replacement, even if that starts at once, if the member was the leader, and if the vote is split. A member is not
// replaced before several of its hellos could have arrived.
func TestLostMemberIsReplacedInTime(t *testing.T) {
	const (
		shortest = 4 * time.Second
		change   = 100 * time.Millisecond // two syncs and a round trip, with a margin
	)
	changes := 3*MembershipReviewEvery + 2*change
	for _, c := range []struct {
		what string
		sum  time.Duration
		max  time.Duration
	}{
		{"the loss of a follower", shortest/ReplacementDivisor + MembershipReviewEvery + changes, shortest},
		{"the loss of the leader, with a split vote", 2*(ElectionTimeoutMin+ElectionTimeoutSpread) + NewLeaderGrace + changes, shortest},
		{"hellos of all members, before a new leader counts silent ones as lost", 3*HelloEvery + TickEvery, NewLeaderGrace},
		{"three lost hellos and a late one, before a replacement", 4*HelloEvery + TickEvery, ReplaceAfterMin},
		{"the shortest time before a replacement, within its part of the shortest catch-up time", ReplaceAfterMin, shortest / ReplacementDivisor},
		{"the shutdown of a leader: election, catch-up of the standby and both membership changes", ElectionTimeoutMin + ElectionTimeoutSpread + 10*HeartbeatEvery + changes, HandoverWait},
		{"the time that both machines of a planned replacement are present", HandoverWait + time.Second, GrowAfter},
	} {
		if c.sum > c.max {
			t.Errorf("%s: the sum is %v, want at most %v", c.what, c.sum, c.max)
		}
	}
}

// The response to a target's report that it is leaving arrives before the target tries the next daemon, after 1 s, and
// leaves time to send the report to the leader again.
func TestLeavingReportIsAnsweredInTime(t *testing.T) {
	if TargetReportWait+2*TickEvery >= 900*time.Millisecond || TargetReportRetry >= TargetReportWait/2 || TargetReportWait <= 2*PullEvery {
		t.Errorf("the response may take %v, want more than two pulls and, with two ticks, less than 900 ms; the retry follows after %v, want less than half of the wait", TargetReportWait, TargetReportRetry)
	}
}
