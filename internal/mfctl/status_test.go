package mfctl

import (
	"net/http"
	"strings"
	"testing"

	"myrtlefold/internal/controlplane"
	"myrtlefold/internal/daemon"
)

// startMembers starts members that respond with the given views, and returns the flags with their addresses.
func startMembers(t *testing.T, views ...controlplane.StatusView) (args []string) {
	t.Helper()
	for _, view := range views {
		args = append(args, "--at", startMember(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/v1/status" {
				http.Error(w, "{}", http.StatusServiceUnavailable)
				return
			}
			daemon.WriteJSON(w, http.StatusOK, view)
		}))
	}
	return args
}

// leaderView returns the view of the leader of three members, one of which is unresponsive. A learner is catching up
// and may replace it in replaceableInMs.
func leaderView(replaceableInMs int64) controlplane.StatusView {
	return controlplane.StatusView{Name: "core-1", Role: "leader", Leadership: "deciding", Leader: "core-1", Epoch: 1, Term: 4, ControlPlane: controlplane.ControlPlaneView{
		Leader: "core-1", HoldsLease: true, LeadingMs: 72_340, Commit: 812, Last: 813, Voters: 3, Majority: 2, LeaseVoters: []string{"core-1", "core-3"},
		Members: []controlplane.MemberView{
			{Name: "core-1", Domain: "north", State: controlplane.MemberLeader, Voter: true, Match: 813},
			{Name: "core-2", Domain: "south", State: controlplane.MemberUnresponsive, Voter: true, Match: 790, NoContactMs: 3210},
			{Name: "core-3", Domain: "west", State: controlplane.MemberFollower, Voter: true, Match: 812},
			{Name: "core-4", Domain: "south", State: controlplane.MemberLearner, Match: 420, LearningMs: 700},
			{Name: "core-5", Domain: "west", State: controlplane.MemberStandby},
		},
		FailureTolerance: controlplane.FailureToleranceView{Evaluated: true, DomainsAtRisk: []string{"north", "west"},
			Blockers: []controlplane.Blocker{{Kind: controlplane.BlockerUnresponsive, Member: "core-2", Successor: "core-4", ReplaceableInMs: &replaceableInMs}}}}}
}

// 'status' prints the leader, its lease, the state and log of each member, and why the next loss is not tolerated. It
// ignores leaders of older terms, and prints damage, disk errors and the last contact of members without a leader.
func TestStatusOfControlPlane(t *testing.T) {
	formerLeader := controlplane.StatusView{Name: "core-9", Role: "leader", Epoch: 1, Term: 3, ControlPlane: controlplane.ControlPlaneView{HoldsLease: true, FailureTolerance: controlplane.FailureToleranceView{Evaluated: true, Tolerable: true, Machines: 1}}}
	code, out := runCommand(t, append(startMembers(t, formerLeader, leaderView(4790)), "status")...)
	if code != exitOK {
		t.Fatalf("status: exit code %d, want %d: %s", code, exitOK, out)
	}
	for _, want := range []string{
		"control plane: core-1 has led for 1m12.3s in term 4; lease granted by 2 of 3 members (core-1, core-3), majority is 2\n",
		"core-2  south   silent    yes    3.2s        790 of 812\n",
		"core-4  south   learning  -      -           420 of 812\n",
		"core-5  west    standby   -      -           -\n",
		"next loss: not tolerated now\n",
		"  core-2 is unresponsive; waiting for it; core-4 replaces it in 4.8s at the earliest\n",
	} {
		if !strings.Contains(out, want) {
			t.Errorf("output lacks %q:\n%s", want, out)
		}
	}
	if _, out := runCommand(t, append(startMembers(t, leaderView(0)), "status")...); !strings.Contains(out, "core-4 replaces it as soon as it has caught up") {
		t.Errorf("output does not say that core-4 can replace the member as soon as it has caught up:\n%s", out)
	}
	follower := controlplane.StatusView{Name: "core-2", Role: "follower", ControlPlane: controlplane.ControlPlaneView{Leader: "core-1", LeaderLastContactMs: 9120}}
	code, out = runCommand(t, append(startMembers(t, follower), "status")...)
	if code != exitOK || !strings.Contains(out, "failure tolerance is unknown\n  core-2 was last in contact with leader core-1 9.1s ago\n") {
		t.Errorf("without a leader: exit code %d, want %d and the last contact with the leader:\n%s", code, exitOK, out)
	}
	damaged := leaderView(0)
	damaged.Damage, damaged.DiskError = []controlplane.Damage{{Subject: "snapshot", Reason: "does not decode"}}, "no space left on device"
	if _, out = runCommand(t, append(startMembers(t, damaged), "status")...); !strings.Contains(out, "\nDAMAGE at core-1: snapshot: does not decode\n") || !strings.Contains(out, "\nDISK of core-1 rejects writes: no space left on device\n") {
		t.Errorf("output lacks the damage or the disk error of core-1:\n%s", out)
	}
	elected := controlplane.StatusView{Name: "core-3", Role: "leader", Leadership: "warming", ControlPlane: controlplane.ControlPlaneView{Leader: "core-3"}}
	if _, out = runCommand(t, append(startMembers(t, elected), "status")...); !strings.Contains(out, "  core-3 is elected and collects the state of the proxies") {
		t.Errorf("output does not say that core-3 collects the state of the proxies:\n%s", out)
	}
	code, out = runCommand(t, append(startMembers(t, leaderView(4790)), "-o", "json", "status")...)
	if code != exitOK || !strings.Contains(out, `"next_loss":{"known":true,"machines":0,"bearable":false,"domains_at_risk":["north","west"],"obstacles":[{"kind":"silent","member":"core-2","replaceable_in_ms":4790,"by":"core-4"}]}`) {
		t.Errorf("JSON output: exit code %d, want %d and the failure tolerance: %s", code, exitOK, out)
	}
}

// blockerText and toleranceText describe each kind of blocker and of failure tolerance.
func TestBlockerTexts(t *testing.T) {
	soon := int64(2500)
	view := controlplane.ControlPlaneView{Voters: 2, Majority: 2}
	for want, blocker := range map[string]controlplane.Blocker{
		"majority requires 2 of 2 members; waiting for another control daemon":                                     {Kind: controlplane.BlockerTooFewMembers},
		"majority requires 2 of 2 members; waiting for c3 to become a member":                                      {Kind: controlplane.BlockerTooFewMembers, Successor: "c3"},
		"c1 is catching up; waiting for it to receive the leader's snapshot":                                       {Kind: controlplane.BlockerCatchingUp, Member: "c1"},
		"c1 is stopping; waiting for it; no other control daemon is available to replace it":                       {Kind: controlplane.BlockerStopping, Member: "c1"},
		"c1 is a placeholder that no daemon has taken yet; waiting for it; c3 replaces it in 2.5s at the earliest": {Kind: controlplane.BlockerPlaceholder, Member: "c1", Successor: "c3", ReplaceableInMs: &soon},
		"c1 is unresponsive; waiting for it; replace it by c3: 'mfctl core add c3', then 'mfctl core remove c1'":   {Kind: controlplane.BlockerUnresponsive, Member: "c1", Successor: "c3"},
	} {
		if got := blockerText(blocker, view); got != want {
			t.Errorf("blocker %+v: text %q, want %q", blocker, got, want)
		}
	}
	for want, tolerance := range map[string]controlplane.FailureToleranceView{
		"not tolerated now": {Evaluated: true},
		"tolerated for any 1 machine and any single domain":      {Machines: 1, Tolerable: true},
		"tolerated for any 2 machines, but not for domain north": {Machines: 2, Tolerable: true, DomainsAtRisk: []string{"north"}},
	} {
		if got := toleranceText(tolerance); got != want {
			t.Errorf("tolerance %+v: text %q, want %q", tolerance, got, want)
		}
	}
}
