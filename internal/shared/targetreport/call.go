// Package targetreport reads what targets say of themselves: their calls of the HTTP API (heartbeats,
// leavings, sign-offs) and how steadily heartbeats come. Both daemons take them; what follows from
// them is theirs.
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

// leaves says that a word has to be safe before it is acknowledged.
func IsLeaving(w wire.Target) bool {
	return w.State == wire.TargetLeaving || w.State == wire.TargetGone
}

// readWord reads a back end's own call; a reply with a status refuses it. A sign-off by
// name alone has no service.
func Parse(e statemachine.Call) (t wire.Target, r statemachine.Reply) {
	var fs []config.Fault
	rest, named := strings.CutPrefix(e.Path, "/v1/targets/")
	svc, name, both := strings.Cut(rest, "/")
	switch {
	case named && e.Method == "DELETE":
		b := config.TargetReport{Service: svc, Name: name, Address: "127.0.0.1:1", State: wire.TargetGone}
		if b.Incarnation, _ = strconv.ParseUint(queryValue(e.Query, "incarnation"), 10, 64); !both {
			b.Service, b.Name, b.Incarnation = "any", rest, 1
		}
		if t, fs = b.Target(); !both {
			t.Service, t.Incarnation = "", 0
		}
	case named && !both && e.Method == "PUT":
		t, fs = config.ParseNamedTargetReport(rest, e.Body)
	case e.Method == "POST" && e.Path == "/v1/targets":
		t, fs = config.ParseTargetReport(e.Body)
	default:
		return t, reply.Problem(405, config.ErrorBody{Code: "method", Message: "POST /v1/targets, PUT /v1/targets/{name}, DELETE /v1/targets/{name} or DELETE /v1/targets/{service}/{name}?incarnation=N"})
	}
	if len(fs) > 0 {
		return t, reply.Problem(422, config.ErrorBody{Code: "invalid", Message: "not a target's word", Faults: fs})
	}
	return t, statemachine.Reply{}
}

// heard acknowledges a word: 200 if it is safe that it says leaving or gone, else 202.
func Acknowledgement(w wire.Target) statemachine.Reply {
	r := statemachine.Reply{Status: 202, Body: reply.Body(map[string]any{"beat_ms": tuning.TargetHeartbeatEvery.Milliseconds()})}
	if IsLeaving(w) {
		r.Status = 200
	}
	return r
}

// AnswerAtProxy is a back end's own call to a proxy, which acts on it at once and passes
// it on. A sign-off without a service is for those who know all targets.
func AnswerAtProxy(e statemachine.Call, beat func(wire.Target)) statemachine.Reply {
	t, r := Parse(e)
	if r.Status != 0 {
		return r
	}
	if t.Service == "" {
		return reply.Problem(405, config.ErrorBody{Code: "method", Message: "a sign-off by name alone is for a core member"})
	}
	beat(t)
	return statemachine.Reply{Status: 202, Body: Acknowledgement(t).Body}
}

// queryValue is a key's first value in a call's query, "" if it is not there.
func queryValue(query, key string) string {
	values, _ := url.ParseQuery(query)
	return values.Get(key)
}
