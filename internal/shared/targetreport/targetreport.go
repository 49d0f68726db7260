// Package targetreport reads what targets report of themselves: their calls of the HTTP API (heartbeats,
// leavings and sign-offs) and how steadily their heartbeats arrive. Control daemons and proxies both take
// such calls; what they do about a report is not decided here. Begin with Parse.
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

// The paths of targets' calls.
const (
	reportPath = "/v1/targets"
	namedPath  = reportPath + "/"
)

// IsLeaving says that a report is of a target that leaves or has left. It has to be in force before it is
// acknowledged as done, since the target stops after that.
func IsLeaving(report wire.Target) bool {
	return report.State == wire.TargetLeaving || report.State == wire.TargetGone
}

// Parse reads a target's call. The rejection is nil, or the answer to a call that is no valid report. A
// sign-off by name alone is valid, and its report has neither service nor incarnation: it is of all
// targets of that name.
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
		noSuchCall := reply.Problem(405, config.ErrorBody{Code: "method", Message: "POST /v1/targets, PUT /v1/targets/{name}, DELETE /v1/targets/{name} or DELETE /v1/targets/{service}/{name}?incarnation=N"})
		return report, &noSuchCall
	}
	if len(faults) > 0 {
		invalid := reply.Problem(422, config.ErrorBody{Code: "invalid", Message: "not a target's word", Faults: faults})
		return report, &invalid
	}
	return report, nil
}

// signOffAddress stands in a sign-off, which has no address, for the one that a report must have.
const signOffAddress = "127.0.0.1:1"

func parseSignOff(service, name, query string) (wire.Target, []config.Fault) {
	values, _ := url.ParseQuery(query)
	incarnation, _ := strconv.ParseUint(values.Get("incarnation"), 10, 64)
	report := config.TargetReport{Service: service, Name: name, Incarnation: incarnation, Address: signOffAddress, State: wire.TargetGone}
	return report.Target()
}

// parseNamedSignOff checks the name as that of a complete report, and returns one without service and incarnation.
func parseNamedSignOff(name string) (wire.Target, []config.Fault) {
	complete := config.TargetReport{Service: "any", Name: name, Incarnation: 1, Address: signOffAddress, State: wire.TargetGone}
	report, faults := complete.Target()
	report.Service, report.Incarnation = "", 0
	return report, faults
}

// Acknowledgement is the answer to a report that was taken: 200 for one of a target that leaves or has
// left, which says that this is in force, else 202. It has the interval of heartbeats.
func Acknowledgement(report wire.Target) statemachine.Reply {
	status := 202
	if IsLeaving(report) {
		status = 200
	}
	return statemachine.Reply{Status: status, Body: reply.Body(map[string]any{"beat_ms": tuning.TargetHeartbeatEvery.Milliseconds()})}
}

// AnswerAtProxy answers a target's call at a proxy, which gives each valid report to record. A proxy rejects
// a sign-off by name alone, since it need not know all targets; and whether a leaving is in force only
// the leader knows, so every acknowledgement is a 202.
func AnswerAtProxy(call statemachine.Call, record func(wire.Target)) statemachine.Reply {
	report, rejection := Parse(call)
	if rejection != nil {
		return *rejection
	}
	if report.Service == "" {
		return reply.Problem(405, config.ErrorBody{Code: "method", Message: "a sign-off by name alone is for a core member"})
	}
	record(report)
	return statemachine.Reply{Status: 202, Body: Acknowledgement(report).Body}
}
