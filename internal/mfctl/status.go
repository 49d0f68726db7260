// This file is 'mfctl status': each member's own view, and the control plane as its leader sees it.

package mfctl

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"myrtlefold/internal/controlplane"
	"myrtlefold/internal/shared/wire"
)

// status asks the members that are named and then the other control daemons that one of them knows.
func (c *cli) status() int {
	var report statusReport
	answering := "" // the first named member that answers
	for _, member := range c.members {
		if report.ask(member) && answering == "" {
			answering = member
		}
	}
	if answering != "" {
		for _, member := range otherMembers(answering, c.members) {
			report.ask(member)
		}
	}
	if c.json {
		report.printJSON()
	} else {
		report.printMembers()
	}
	if answering == "" {
		return exitNoLeader
	}
	if !c.json {
		printControlPlane(os.Stdout, report.views)
	}
	return exitOK
}

// statusReport collects the members' views.
type statusReport struct {
	bodies []json.RawMessage // as the members sent them
	views  []controlplane.StatusView
}

// ask adds a member's view. It returns false if the member does not answer.
func (r *statusReport) ask(member string) bool {
	body, err := get(member, "/v1/status")
	if err != nil {
		fail(err, exitFailed)
		return false
	}
	r.bodies = append(r.bodies, body)
	var view controlplane.StatusView
	if json.Unmarshal(body, &view) == nil {
		r.views = append(r.views, view)
	}
	return true
}

// otherMembers are the addresses of the control daemons that a member knows, except those asked.
func otherMembers(member string, asked []string) (others []string) {
	body, err := get(member, "/v1/roster")
	if err != nil {
		return nil
	}
	daemons, err := parseDaemons(body)
	if err != nil {
		return nil
	}
	for _, daemon := range daemons {
		if daemon.Kind == wire.ControlDaemon && !slices.Contains(asked, daemon.HTTP) {
			others = append(others, daemon.HTTP)
		}
	}
	return others
}

func (r *statusReport) printJSON() {
	if r.bodies == nil {
		r.bodies = []json.RawMessage{} // an empty list, not null
	}
	printJSON(r.bodies)
}

// printMembers prints a table of the members' own views.
func (r *statusReport) printMembers() {
	table := newTable()
	defer table.Flush()
	fmt.Fprintln(table, "MEMBER\tROLE\tLEAD\tLEADER\tEPOCH\tTERM\tREVISION\tTABLE\tTARGETS\tPROXIES\tEMPTIED")
	for _, s := range r.views {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", s.Name, s.Role, s.Leadership, s.Leader,
			s.Epoch, s.Term, s.Revision, s.Table.Version, s.Targets, s.Proxies, strings.Join(s.Emptied, ","))
	}
}

// printControlPlane prints how the control plane stands as its leader sees it; without a leader's view it says that
// nobody can tell.
func printControlPlane(w io.Writer, views []controlplane.StatusView) {
	for _, view := range views {
		printFailures(w, &view)
	}
	leader := leadersView(views)
	if leader == nil {
		fmt.Fprintln(w, "\ncore: no member that answered leads; whether the next loss can be borne cannot be told")
		for _, view := range views {
			fmt.Fprintf(w, "  %s %s\n", view.Name, contactText(&view))
		}
		return
	}
	view := leader.ControlPlane
	fmt.Fprintf(w, "\ncore: %s leads for %v in term %d, by the answers of %d of %d members (%s); %d make a majority\n",
		leader.Name, seconds(view.LeadingMs), leader.Term, len(view.LeaseVoters), view.Voters, strings.Join(view.LeaseVoters, ", "), view.Majority)
	printMemberTable(w, view)
	fmt.Fprintf(w, "next loss: %s\n", toleranceText(view.FailureTolerance))
	for _, blocker := range view.FailureTolerance.Blockers {
		fmt.Fprintf(w, "  %s\n", blockerText(blocker, view))
	}
}

// printMemberTable prints the members as the leader sees them.
func printMemberTable(w io.Writer, view controlplane.ControlPlaneView) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer table.Flush()
	fmt.Fprintln(table, "MEMBER\tDOMAIN\tSTATE\tVOTE\tSILENT\tLOG")
	for _, m := range view.Members {
		state := strings.ReplaceAll(string(m.State), "_", " ")
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, orDash(m.Domain), state, yesOrDash(m.Voter), noContactText(m), logText(m, view.Commit))
	}
}

// printFailures prints what a member could not read, and that its disk rejects writes.
func printFailures(w io.Writer, view *controlplane.StatusView) {
	for _, damage := range view.Damage {
		fmt.Fprintf(w, "\nDAMAGE at %s: %s: %s\n", view.Name, damage.Subject, damage.Reason)
	}
	if view.DiskError != "" {
		fmt.Fprintf(w, "\nDISK of %s takes no writes: %s\n", view.Name, view.DiskError)
	}
}

// leadersView is the view of the member that holds the lease in the latest term, nil if none does.
func leadersView(views []controlplane.StatusView) (latest *controlplane.StatusView) {
	for i := range views {
		view := &views[i]
		if view.ControlPlane.HoldsLease && (latest == nil || view.Epoch > latest.Epoch || view.Epoch == latest.Epoch && view.Term > latest.Term) {
			latest = view
		}
	}
	return latest
}

// contactText is what a member without the lease says of its leader.
func contactText(member *controlplane.StatusView) string {
	view := member.ControlPlane
	switch view.Leader {
	case "":
		return fmt.Sprintf("hears no leader, for %v", seconds(view.LeaderLastContactMs))
	case member.Name:
		return "is elected, and gathers what the proxies hold before it decides"
	}
	return fmt.Sprintf("last heard %s %v ago", view.Leader, seconds(view.LeaderLastContactMs))
}

// toleranceText says what the control plane can lose now.
func toleranceText(tolerance controlplane.FailureToleranceView) string {
	switch {
	case !tolerance.Tolerable:
		return "cannot be borne now"
	case len(tolerance.DomainsAtRisk) > 0:
		domains := strings.Join(tolerance.DomainsAtRisk, " or ")
		return fmt.Sprintf("%s can be borne now, but not the loss of domain %s", machinesText(tolerance.Machines), domains)
	}
	return fmt.Sprintf("%s can be borne now, and any one domain", machinesText(tolerance.Machines))
}

func machinesText(n int) string {
	if n == 1 {
		return "any 1 machine"
	}
	return fmt.Sprintf("any %d machines", n)
}

// blockerTexts say why a member does not count.
var blockerTexts = map[controlplane.BlockerKind]string{
	controlplane.BlockerUnresponsive: "is silent",
	controlplane.BlockerStopping:     "said that it stops",
	controlplane.BlockerPlaceholder:  "is a place that nobody has taken yet",
}

// blockerText says why a loss can't be tolerated, and until when.
func blockerText(blocker controlplane.Blocker, view controlplane.ControlPlaneView) string {
	switch {
	case blocker.Kind == controlplane.BlockerTooFewMembers && blocker.Successor == "":
		return fmt.Sprintf("%d of %d members are needed, until another core machine is there", view.Majority, view.Voters)
	case blocker.Kind == controlplane.BlockerTooFewMembers:
		return fmt.Sprintf("%d of %d members are needed, until %s has come in", view.Majority, view.Voters, blocker.Successor)
	case blocker.Kind == controlplane.BlockerCatchingUp:
		return fmt.Sprintf("%s is catching up, until it has the leader's snapshot", blocker.Member)
	}
	return fmt.Sprintf("%s %s, until it is back%s", blocker.Member, blockerTexts[blocker.Kind], replacementText(blocker))
}

// replacementText says who replaces a member, and when.
func replacementText(blocker controlplane.Blocker) string {
	successor := blocker.Successor
	switch {
	case successor == "":
		return "; no other core machine is there to replace it"
	case blocker.ReplaceableInMs == nil:
		return fmt.Sprintf("; %s is there: 'mfctl core add %s', then 'mfctl core remove %s'", successor, successor, blocker.Member)
	case *blocker.ReplaceableInMs > 0:
		return fmt.Sprintf("; %s replaces it in %v at the earliest", successor, seconds(*blocker.ReplaceableInMs))
	}
	return fmt.Sprintf("; %s replaces it as soon as it has caught up", successor)
}

// noContactShownMs is from when on the time without contact to a member is shown, in ms: below, it is as it should be.
const noContactShownMs = 1000

func noContactText(member controlplane.MemberView) string {
	if member.NoContactMs < noContactShownMs {
		return "-"
	}
	return seconds(member.NoContactMs).String()
}

// logText is how much of the committed log a member holds.
func logText(member controlplane.MemberView, commit uint64) string {
	if member.State == controlplane.MemberStandby || member.State == controlplane.MemberPlaceholder {
		return "-"
	}
	return fmt.Sprintf("%d of %d", min(member.Match, commit), commit)
}
