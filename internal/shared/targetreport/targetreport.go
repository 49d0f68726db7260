// Package targetreport parses the calls with which targets report their state to the HTTP API (heartbeats, announcements
// that they are leaving, and sign-offs when they have ended) and tracks how regularly their heartbeats arrive. Both control daemons and
// proxies accept these calls; the package does not decide how they act on a report. Start with Parse.
package targetreport

import (
	"net/url"
	"strconv"
	"strings"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/reply"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Paths of targets' calls.
const (
	reportPath = "/v1/targets"
	namedPath  = reportPath + "/"
)

// IsLeaving reports whether a report announces that its target is leaving or gone. Such a report must be in force
// before it is acknowledged with status 200, since the target stops after that.
func IsLeaving(report wire.Target) bool {
	return report.State == wire.TargetLeaving || report.State == wire.TargetGone
}

// Parse parses a target's call. If the call is not a valid report, rejection is the response to it, else nil. A sign-off
// by name alone is valid; its report has neither service nor incarnation and applies to all targets with that name.
func Parse(call statemachine.Call) (report wire.Target, rejection *statemachine.Reply) {
	var faults []config.Fault
	rest, named := strings.CutPrefix(call.Path, namedPath)
	service, name, hasService := strings.Cut(rest, "/")
	switch {
	case named && call.Method == "DELETE" && hasService:
		report, faults = parseSignOff(service, name, call.Query)
	case named && call.Method == "DELETE":
		report, faults = parseNamedSignOff(rest)
	case named && call.Method == "PUT" && !hasService:
		report, faults = config.ParseNamedTargetReport(rest, call.Body)
	case call.Method == "POST" && call.Path == reportPath:
		report, faults = config.ParseTargetReport(call.Body)
	default:
		noSuchCall := reply.Problem(405, config.ErrorBody{Code: "method", Message: "no such call; targets use POST /v1/targets, PUT /v1/targets/{name}, DELETE /v1/targets/{name} or DELETE /v1/targets/{service}/{name}?incarnation=N"})
		return report, &noSuchCall
	}
	if len(faults) > 0 {
		invalid := reply.Problem(422, config.ErrorBody{Code: "invalid", Message: "invalid target report", Faults: faults})
		return report, &invalid
	}
	return report, nil
}

// signOffAddress is a placeholder for the address that a valid report must have and a sign-off lacks.
const signOffAddress = "127.0.0.1:1"

// parseSignOff returns the report of a sign-off by service, name and the incarnation in the query.
func parseSignOff(service, name, query string) (wire.Target, []config.Fault) {
	values, _ := url.ParseQuery(query)
	incarnation, _ := strconv.ParseUint(values.Get("incarnation"), 10, 64)
	report := config.TargetReport{Service: service, Name: name, Incarnation: incarnation, Address: signOffAddress, State: wire.TargetGone}
	return report.Target()
}

// parseNamedSignOff returns the report of a sign-off by name, without service and incarnation. To validate the name, it
// checks a complete report with placeholders.
func parseNamedSignOff(name string) (wire.Target, []config.Fault) {
	complete := config.TargetReport{Service: "any", Name: name, Incarnation: 1, Address: signOffAddress, State: wire.TargetGone}
	report, faults := complete.Target()
	report.Service, report.Incarnation = "", 0
	return report, faults
}

// Acknowledgement returns the response to an accepted report. Its status is 200 if the target is leaving or gone, which
// confirms that this is in force, else 202. The body contains the heartbeat interval.
func Acknowledgement(report wire.Target) statemachine.Reply {
	status := 202
	if IsLeaving(report) {
		status = 200
	}
	return statemachine.Reply{Status: status, Body: reply.Body(map[string]any{"beat_ms": tuning.TargetHeartbeatEvery.Milliseconds()})}
}

// AnswerAtProxy returns a proxy's response to a target's call and passes each valid report to record. A proxy rejects a
// sign-off by name alone, since it may not know all targets. Every acknowledgement is a 202, since only the leader knows
// whether a report that a target is leaving is in force.
func AnswerAtProxy(call statemachine.Call, record func(wire.Target)) statemachine.Reply {
	report, rejection := Parse(call)
	if rejection != nil {
		return *rejection
	}
	if report.Service == "" {
		return reply.Problem(405, config.ErrorBody{Code: "method", Message: "only a control daemon accepts a sign-off by name alone"})
	}
	record(report)
	return statemachine.Reply{Status: 202, Body: Acknowledgement(report).Body}
}
