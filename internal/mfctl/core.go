// This file prints the core's own state for 'mfctl status'.

package mfctl

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"myrtlefold/internal/controlplane"
)

// coreText prints how the core stands as its leader sees it; without a leader's view it
// says that nobody can tell.
func coreText(w io.Writer, all []controlplane.StatusView) {
	for _, s := range all {
		troubleText(w, &s)
	}
	leader := leadersView(all)
	if leader == nil {
		fmt.Fprintln(w, "\ncore: no member that answered leads; whether the next loss can be borne cannot be told")
		for _, s := range all {
			fmt.Fprintf(w, "  %s %s\n", s.Name, heardText(&s))
		}
		return
	}
	v := leader.ControlPlane
	fmt.Fprintf(w, "\ncore: %s leads for %v in term %d, by the answers of %d of %d members (%s); %d make a majority\n",
		leader.Name, seconds(v.LeadingMs), leader.Term, len(v.LeaseVoters), v.Voters, strings.Join(v.LeaseVoters, ", "), v.Majority)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "MEMBER\tDOMAIN\tSTATE\tVOTE\tSILENT\tLOG")
	for _, m := range v.Members {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, orDash(m.Domain), strings.ReplaceAll(string(m.State), "_", " "), yesOrDash(m.Voter), silenceText(m), logText(m, v.Commit))
	}
	tw.Flush()
	fmt.Fprintf(w, "next loss: %s\n", lossText(v.FailureTolerance))
	for _, o := range v.FailureTolerance.Blockers {
		fmt.Fprintf(w, "  %s\n", obstacleText(o, v))
	}
}

// troubleText says aloud what a member could not read, and that its disk takes no writes.
func troubleText(w io.Writer, s *controlplane.StatusView) {
	for _, d := range s.Damage {
		fmt.Fprintf(w, "\nDAMAGE at %s: %s: %s\n", s.Name, d.Subject, d.Reason)
	}
	if s.DiskError != "" {
		fmt.Fprintf(w, "\nDISK of %s takes no writes: %s\n", s.Name, s.DiskError)
	}
}

// leadersView is the view of the member that decides in the latest term, nil if none does.
func leadersView(all []controlplane.StatusView) (best *controlplane.StatusView) {
	for i := range all {
		s := &all[i]
		if s.ControlPlane.HoldsLease && (best == nil || s.Epoch > best.Epoch || s.Epoch == best.Epoch && s.Term > best.Term) {
			best = s
		}
	}
	return best
}

// heardText is what a member that does not decide says of its leader.
func heardText(s *controlplane.StatusView) string {
	v := s.ControlPlane
	switch v.Leader {
	case "":
		return fmt.Sprintf("hears no leader, for %v", seconds(v.LeaderLastContactMs))
	case s.Name:
		return "is elected, and gathers what the proxies hold before it decides"
	}
	return fmt.Sprintf("last heard %s %v ago", v.Leader, seconds(v.LeaderLastContactMs))
}

func lossText(l controlplane.FailureToleranceView) string {
	switch {
	case !l.Tolerable:
		return "cannot be borne now"
	case len(l.DomainsAtRisk) > 0:
		return fmt.Sprintf("%s can be borne now, but not the loss of domain %s", machines(l.Machines), strings.Join(l.DomainsAtRisk, " or "))
	}
	return fmt.Sprintf("%s can be borne now, and any one domain", machines(l.Machines))
}

func machines(n int) string {
	if n == 1 {
		return "any 1 machine"
	}
	return fmt.Sprintf("any %d machines", n)
}

// obstacleText says why a member does not count, and until when.
func obstacleText(o controlplane.Blocker, v controlplane.ControlPlaneView) string {
	switch o.Kind {
	case controlplane.BlockerTooFewMembers:
		if o.Successor == "" {
			return fmt.Sprintf("%d of %d members are needed, until another core machine is there", v.Majority, v.Voters)
		}
		return fmt.Sprintf("%d of %d members are needed, until %s has come in", v.Majority, v.Voters, o.Successor)
	case controlplane.BlockerCatchingUp:
		return fmt.Sprintf("%s is catching up, until it has the leader's snapshot", o.Member)
	}
	why := map[controlplane.BlockerKind]string{
		controlplane.BlockerUnresponsive: "is silent",
		controlplane.BlockerStopping:     "said that it stops",
		controlplane.BlockerPlaceholder:  "is a place that nobody has taken yet",
	}[o.Kind]
	return fmt.Sprintf("%s %s, until it is back%s", o.Member, why, replacementText(o))
}

// replacementText says who replaces a member, and when.
func replacementText(o controlplane.Blocker) string {
	switch {
	case o.Successor == "":
		return "; no other core machine is there to replace it"
	case o.ReplaceableInMs == nil:
		return fmt.Sprintf("; %s is there: 'mfctl core add %s', then 'mfctl core remove %s'", o.Successor, o.Successor, o.Member)
	case *o.ReplaceableInMs > 0:
		return fmt.Sprintf("; %s replaces it in %v at the earliest", o.Successor, seconds(*o.ReplaceableInMs))
	}
	return fmt.Sprintf("; %s replaces it as soon as it has caught up", o.Successor)
}

func silenceText(m controlplane.MemberView) string {
	if m.NoContactMs < 1000 {
		return "-"
	}
	return seconds(m.NoContactMs).String()
}

// logText is how much of what is agreed a member holds.
func logText(m controlplane.MemberView, commit uint64) string {
	if m.State == controlplane.MemberStandby || m.State == controlplane.MemberPlaceholder {
		return "-"
	}
	return fmt.Sprintf("%d of %d", min(m.Match, commit), commit)
}

// seconds is a time for a reader, to a tenth of a second.
func seconds(ms int64) time.Duration {
	return (time.Duration(ms) * time.Millisecond).Round(100 * time.Millisecond)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func yesOrDash(yes bool) string {
	if yes {
		return "yes"
	}
	return "-"
}
