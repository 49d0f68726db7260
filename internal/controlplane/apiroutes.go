// This file has the API's calls that the leader executes, but for those that change the configuration
// (configapi.go) and those of targets (targetapi.go).

package controlplane

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/reply"
	"myrtlefold/internal/shared/state"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// apiRequest is a call at the leader.
type apiRequest struct {
	now    time.Duration
	call   *pendingCall // where its answer goes
	method string
	query  string
	body   []byte
	path   apiPath
}

// apiPath is a path of the API: /v1/RESOURCE/NAME/ACTION. What lacks is "".
type apiPath struct{ resource, name, action string }

func parsePath(path string) apiPath {
	segments := strings.Split(strings.Trim(path, "/"), "/")
	for len(segments) < 4 {
		segments = append(segments, "")
	}
	return apiPath{resource: segments[1], name: segments[2], action: segments[3]}
}

// anything stands in a route's path for any name or action, also none.
const anything = "*"

// route is a kind of call and what executes it.
type route struct {
	method, resource, name, action string
	execute                        func(*Controller, *apiRequest)
}

// routes are all calls that the leader executes, but for targets' reports.
var routes = []route{
	{"GET", "config", "", anything, (*Controller).answerConfig},
	{"PUT", "config", "", anything, (*Controller).replaceConfig},
	{"PATCH", "config", "", anything, (*Controller).patchConfig},
	{"GET", "config", "history", anything, (*Controller).answerHistory},
	{"GET", "config", "diff", anything, (*Controller).answerDiff},
	{"POST", "config", "rollback", anything, (*Controller).rollBackConfig},
	{"GET", "changes", anything, anything, (*Controller).answerChange},
	{"GET", "policies", anything, anything, (*Controller).answerPolicies},
	{"PUT", "policies", anything, anything, (*Controller).replacePolicy},
	{"DELETE", "policies", anything, anything, (*Controller).removePolicy},
	{"GET", "roster", anything, anything, (*Controller).answerDaemons},
	{"GET", "targets", anything, anything, (*Controller).answerTargets},
	{"GET", "domains", anything, anything, (*Controller).answerDomains},
	{"POST", "domains", anything, "empty", (*Controller).changeDomain},
	{"POST", "domains", anything, "restore", (*Controller).changeDomain},
	{"POST", "gates", anything, "forget", (*Controller).forgetProxy},
	{"POST", "core", anything, "add", (*Controller).addMember},
	{"POST", "core", anything, "remove", (*Controller).removeMemberByOperator},
}

func (r *route) matches(method string, path apiPath) bool {
	return r.method == method && r.resource == path.resource &&
		(r.name == anything || r.name == path.name) &&
		(r.action == anything || r.action == path.action)
}

// executeRoute executes a call by its method and path.
func (c *Controller) executeRoute(now time.Duration, call *pendingCall, request *wire.Call) {
	path := parsePath(request.Path)
	for i := range routes {
		if routes[i].matches(request.Method, path) {
			routes[i].execute(c, &apiRequest{now: now, call: call, method: request.Method, query: request.Query, body: request.Body, path: path})
			return
		}
	}
	c.reject(call, 404, config.ErrorBody{Code: "not_found", Message: "no such call: " + request.Method + " " + request.Path})
}

// The types below are bodies of answers. Their keys stand in alphabetical order, as clients have always got them.

// configAnswer is the configuration and its revision.
type configAnswer struct {
	Config   json.RawMessage `json:"config"`
	Revision uint64          `json:"revision"`
}

// historyAnswer has the latest changes, the oldest first.
type historyAnswer struct {
	Changes []state.Record `json:"changes"`
}

// daemonsAnswer has all daemons that the leader knows of.
type daemonsAnswer struct {
	Daemons []DaemonView `json:"daemons"`
}

// targetsAnswer has the targets as the leader sees them.
type targetsAnswer struct {
	Revision uint64       `json:"revision"`
	Targets  []TargetView `json:"targets"`
}

// policiesAnswer has what each outlier policy decided since this member began to lead.
type policiesAnswer struct {
	Policies            map[string]outlier.PolicyStats `json:"policies"`
	Revision            uint64                         `json:"revision"`
	LeadingMilliseconds int64                          `json:"since_ms"`
}

// domainsAnswer has the failure domains and those of them that get no new requests.
type domainsAnswer struct {
	Domains []string `json:"domains"`
	Emptied []string `json:"emptied"`
}

// answerConfig answers with the configuration: beside its revision, or, plain, with its revision in it.
func (c *Controller) answerConfig(request *apiRequest) {
	if queryHas(request.query, "plain") {
		document := mustRewrite(config.WithRevision(c.state.Document, c.state.Revision))
		c.answer(request.call, statemachine.Reply{Status: 200, Body: append(slices.Clone(document), '\n')})
		return
	}
	c.answerBody(request.call, configAnswer{Config: c.state.Document, Revision: c.state.Revision})
}

func (c *Controller) answerHistory(request *apiRequest) {
	c.answerBody(request.call, historyAnswer{Changes: c.state.Records})
}

// answerChange answers with the record of a change, by its token.
func (c *Controller) answerChange(request *apiRequest) {
	record := c.state.FindRecord(request.path.name)
	if record == nil {
		c.reject(request.call, 404, config.ErrorBody{Code: "not_found", Ran: config.RanUnknown, Message: "no such change has been agreed so far"})
		return
	}
	withoutDocument := *record
	withoutDocument.Document = nil
	c.answerBody(request.call, withoutDocument)
}

func (c *Controller) answerDaemons(request *apiRequest) {
	c.answerBody(request.call, daemonsAnswer{Daemons: c.daemonViews(request.now)})
}

func (c *Controller) answerTargets(request *apiRequest) {
	c.answerBody(request.call, targetsAnswer{Revision: c.state.Revision, Targets: c.Targets(request.now)})
}

func (c *Controller) answerPolicies(request *apiRequest) {
	c.answerBody(request.call, policiesAnswer{
		Policies:            c.policyStats(request.now),
		Revision:            c.state.Revision,
		LeadingMilliseconds: (request.now - c.leadershipSince).Milliseconds(),
	})
}

func (c *Controller) answerDomains(request *apiRequest) {
	c.answerBody(request.call, domainsAnswer{
		Domains: c.failureDomains(),
		Emptied: append([]string{}, c.state.EmptiedDomains...),
	})
}

// changeDomain empties a failure domain or restores it, as its action says.
func (c *Controller) changeDomain(request *apiRequest) {
	domain := request.path.name
	if !slices.Contains(c.failureDomains(), domain) && !slices.Contains(c.state.EmptiedDomains, domain) {
		c.reject(request.call, 404, config.ErrorBody{Code: "not_found", Message: fmt.Sprintf("no target or proxy stands in domain %q", domain)})
		return
	}
	c.proposeChange(request.now, request.call, state.Command{Operation: state.Operation(request.path.action), Name: domain})
}

// forgetProxy removes a proxy from the membership, if it has stopped asking for its table: one that still
// serves must count, since what is in force binds all proxies.
func (c *Controller) forgetProxy(request *apiRequest) {
	name := request.path.name
	if !c.isProxyMember(name) {
		c.reject(request.call, 404, config.ErrorBody{Code: "not_found", Message: "no such proxy in the roster"})
		return
	}
	if proxy := c.proxies[name]; proxy != nil && request.now-proxy.lastPullAt < tuning.ProxyLive {
		c.reject(request.call, 409, config.ErrorBody{Code: "alive", Message: "that proxy is still asking for its table"})
		return
	}
	c.proposeChange(request.now, request.call, state.Command{Operation: state.OpForgetProxy, Name: name})
}

// addMember asks for a control daemon to become a member. It learns the log first.
func (c *Controller) addMember(request *apiRequest) {
	name := request.path.name
	if slices.Contains(namesOf(c.node.Members()), name) {
		c.reject(request.call, 409, config.ErrorBody{Code: "member", Message: name + " is a member"})
		return
	}
	if peer := c.directory[name]; peer == nil || peer.Kind != wire.ControlDaemon {
		c.reject(request.call, 404, config.ErrorBody{Code: "not_found", Message: "no core daemon of that name has been heard"})
		return
	}
	c.proposeChange(request.now, request.call, state.Command{Operation: state.OpAddMember, Name: name})
}

// removeMemberByOperator removes a member. A leader that is to go hands leadership over first, and the
// operator asks its successor.
func (c *Controller) removeMemberByOperator(request *apiRequest) {
	name, members := request.path.name, c.node.Members()
	i := slices.IndexFunc(members, func(m wire.Member) bool { return m.Name == name })
	switch {
	case i < 0:
		c.reject(request.call, 404, config.ErrorBody{Code: "not_found", Message: name + " is no member"})
	case len(members) == 1 || !c.node.CanChangeMembers():
		c.reject(request.call, 409, config.ErrorBody{Code: "busy", Message: "the last member stays, and changes of members go one at a time"})
	case name == c.settings.Self.Name:
		c.reject(request.call, 503, config.ErrorBody{Code: "leading", Message: name + " leads; it hands leadership over first and nothing was changed; ask again"})
		c.node.TransferLeadership(request.now)
	default:
		command := state.Command{Operation: state.OpRemoveMember, Name: name}
		if c.proposeChange(request.now, request.call, command) && c.node.CanChangeMembers() {
			c.node.ProposeMembers(request.now, slices.Delete(slices.Clone(members), i, i+1))
		}
	}
}

// answerBody answers a call with a value in JSON.
func (c *Controller) answerBody(call *pendingCall, value any) {
	c.answer(call, statemachine.Reply{Status: 200, Body: reply.Body(value)})
}

// reject answers a call that is rejected with an HTTP status and a reason.
func (c *Controller) reject(call *pendingCall, status int, reason config.ErrorBody) {
	c.answer(call, reply.Problem(status, reason))
}
