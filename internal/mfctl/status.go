// The command 'mfctl status', which prints each member's own view and the leader's view of the control plane.

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

// status queries the members given on the command line, and then the other control daemons that the first responding
// one knows.
func (c *cli) status() int {
	var report statusReport
	firstResponding := "" // address of the first given member that responds
	for _, member := range c.members {
		if report.query(member) && firstResponding == "" {
			firstResponding = member
		}
	}
	if firstResponding != "" {
		for _, member := range otherMembers(firstResponding, c.members) {
			report.query(member)
		}
	}
	if c.json {
		report.printJSON()
	} else {
		report.printMembers()
	}
	if firstResponding == "" {
		return exitNoLeader
	}
	if !c.json {
		printControlPlane(os.Stdout, report.views)
	}
	return exitOK
}

// statusReport collects the views of the members that respond.
type statusReport struct {
	bodies []json.RawMessage         // response bodies, for JSON output
	views  []controlplane.StatusView // decoded bodies
}

// query adds a member's view to the report. It returns false if the member does not respond.
func (r *statusReport) query(member string) bool {
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

// otherMembers returns the HTTP addresses of the control daemons that a member knows, except those in known.
func otherMembers(member string, known []string) (others []string) {
	body, err := get(member, "/v1/roster")
	if err != nil {
		return nil
	}
	daemons, err := parseDaemons(body)
	if err != nil {
		return nil
	}
	for _, daemon := range daemons {
		if daemon.Kind == wire.ControlDaemon && !slices.Contains(known, daemon.HTTP) {
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
	fmt.Fprintln(table, "MEMBER\tROLE\tLEADERSHIP\tLEADER\tEPOCH\tTERM\tREVISION\tTABLE\tTARGETS\tPROXIES\tEMPTIED DOMAINS")
	for _, s := range r.views {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", s.Name, s.Role, s.Leadership, s.Leader,
			s.Epoch, s.Term, s.Revision, s.Table.Version, s.Targets, s.Proxies, strings.Join(s.EmptiedDomains, ","))
	}
}

// printControlPlane prints the leader's view of the control plane. If no leader has responded, it prints when each
// member was last in contact with its leader.
func printControlPlane(w io.Writer, views []controlplane.StatusView) {
	for _, view := range views {
		printFailures(w, &view)
	}
	leader := findLeader(views)
	if leader == nil {
		fmt.Fprintln(w, "\ncontrol plane: no responding member leads; failure tolerance is unknown")
		for _, view := range views {
			fmt.Fprintf(w, "  %s %s\n", view.Name, contactText(&view))
		}
		return
	}
	view := leader.ControlPlane
	fmt.Fprintf(w, "\ncontrol plane: %s has led for %v in term %d; lease granted by %d of %d members (%s), majority is %d\n",
		leader.Name, seconds(view.LeadingMs), leader.Term, len(view.LeaseVoters), view.Voters, strings.Join(view.LeaseVoters, ", "), view.Majority)
	printMemberTable(w, view)
	fmt.Fprintf(w, "next loss: %s\n", toleranceText(view.FailureTolerance))
	for _, blocker := range view.FailureTolerance.Blockers {
		fmt.Fprintf(w, "  %s\n", blockerText(blocker, view))
	}
}

// printMemberTable prints the leader's view of the members.
func printMemberTable(w io.Writer, view controlplane.ControlPlaneView) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer table.Flush()
	fmt.Fprintln(table, "MEMBER\tDOMAIN\tSTATE\tVOTER\tNO CONTACT\tLOG")
	for _, m := range view.Members {
		state := strings.ReplaceAll(string(m.State), "_", " ")
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", m.Name, orDash(m.Domain), state, yesOrDash(m.Voter), noContactText(m), logText(m, view.Commit))
	}
}

// printFailures prints the damage that a member found in stored state and the error of its disk, if any.
func printFailures(w io.Writer, view *controlplane.StatusView) {
	for _, damage := range view.Damage {
		fmt.Fprintf(w, "\nDAMAGE at %s: %s: %s\n", view.Name, damage.Subject, damage.Reason)
	}
	if view.DiskError != "" {
		fmt.Fprintf(w, "\nDISK of %s rejects writes: %s\n", view.Name, view.DiskError)
	}
}

// findLeader returns the view of the member that holds the lease in the latest epoch and term, nil if none does.
func findLeader(views []controlplane.StatusView) (latest *controlplane.StatusView) {
	for i := range views {
		view := &views[i]
		if view.ControlPlane.HoldsLease && (latest == nil || view.Epoch > latest.Epoch || view.Epoch == latest.Epoch && view.Term > latest.Term) {
			latest = view
		}
	}
	return latest
}

// contactText describes the contact of a member without a lease to its leader.
func contactText(member *controlplane.StatusView) string {
	view := member.ControlPlane
	switch view.Leader {
	case "":
		return fmt.Sprintf("has had no contact with a leader for %v", seconds(view.LeaderLastContactMs))
	case member.Name:
		return "is elected and collects the state of the proxies before it serves as leader"
	}
	return fmt.Sprintf("was last in contact with leader %s %v ago", view.Leader, seconds(view.LeaderLastContactMs))
}

// toleranceText describes which losses the control plane tolerates now.
func toleranceText(tolerance controlplane.FailureToleranceView) string {
	switch {
	case !tolerance.Tolerable:
		return "not tolerated now"
	case len(tolerance.DomainsAtRisk) > 0:
		domains := strings.Join(tolerance.DomainsAtRisk, " or ")
		return fmt.Sprintf("tolerated for %s, but not for domain %s", machinesText(tolerance.Machines), domains)
	}
	return fmt.Sprintf("tolerated for %s and any single domain", machinesText(tolerance.Machines))
}

func machinesText(n int) string {
	if n == 1 {
		return "any 1 machine"
	}
	return fmt.Sprintf("any %d machines", n)
}

// blockerTexts describe why a member does not count towards the failure tolerance.
var blockerTexts = map[controlplane.BlockerKind]string{
	controlplane.BlockerUnresponsive: "is unresponsive",
	controlplane.BlockerStopping:     "is stopping",
	controlplane.BlockerPlaceholder:  "is a placeholder that no daemon has taken yet",
}

// blockerText describes why the next loss is not tolerated and what would change that.
func blockerText(blocker controlplane.Blocker, view controlplane.ControlPlaneView) string {
	switch {
	case blocker.Kind == controlplane.BlockerTooFewMembers && blocker.Successor == "":
		return fmt.Sprintf("majority requires %d of %d members; waiting for another control daemon", view.Majority, view.Voters)
	case blocker.Kind == controlplane.BlockerTooFewMembers:
		return fmt.Sprintf("majority requires %d of %d members; waiting for %s to become a member", view.Majority, view.Voters, blocker.Successor)
	case blocker.Kind == controlplane.BlockerCatchingUp:
		return fmt.Sprintf("%s is catching up; waiting for it to receive the leader's snapshot", blocker.Member)
	}
	return fmt.Sprintf("%s %s; waiting for it%s", blocker.Member, blockerTexts[blocker.Kind], replacementText(blocker))
}

// replacementText describes which daemon replaces a member, and when.
func replacementText(blocker controlplane.Blocker) string {
	successor := blocker.Successor
	switch {
	case successor == "":
		return "; no other control daemon is available to replace it"
	case blocker.ReplaceableInMs == nil:
		return fmt.Sprintf("; replace it by %s: 'mfctl core add %s', then 'mfctl core remove %s'", successor, successor, blocker.Member)
	case *blocker.ReplaceableInMs > 0:
		return fmt.Sprintf("; %s replaces it in %v at the earliest", successor, seconds(*blocker.ReplaceableInMs))
	}
	return fmt.Sprintf("; %s replaces it as soon as it has caught up", successor)
}

// minNoContactShownMs is the shortest time without contact to a member that is shown, in ms. Shorter times are normal.
const minNoContactShownMs = 1000

func noContactText(member controlplane.MemberView) string {
	if member.NoContactMs < minNoContactShownMs {
		return "-"
	}
	return seconds(member.NoContactMs).String()
}

// logText describes how many of the committed log entries a member has.
func logText(member controlplane.MemberView, commit uint64) string {
	if member.State == controlplane.MemberStandby || member.State == controlplane.MemberPlaceholder {
		return "-"
	}
	return fmt.Sprintf("%d of %d", min(member.Match, commit), commit)
}
