// This file implements the API calls that the leader executes, except for those that change the configuration
// (configapi.go) and the reports of targets (targetapi.go).

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

// apiRequest is a call that the leader executes.
type apiRequest struct {
	now    time.Duration
	call   *pendingCall // receives the response
	method string
	query  string
	body   []byte
	path   apiPath
}

// apiPath is a parsed API path, /v1/RESOURCE/NAME/ACTION. Missing segments are "".
type apiPath struct{ resource, name, action string }

func parsePath(path string) apiPath {
	segments := strings.Split(strings.Trim(path, "/"), "/")
	for len(segments) < 4 {
		segments = append(segments, "")
	}
	return apiPath{resource: segments[1], name: segments[2], action: segments[3]}
}

// wildcard matches any name or action in a route, including an absent one.
const wildcard = "*"

// route maps a method and a path pattern to the function that executes the call.
type route struct {
	method, resource, name, action string
	execute                        func(*Controller, *apiRequest)
}

// routes lists all calls that the leader executes, except for the reports of targets.
var routes = []route{
	{"GET", "config", "", wildcard, (*Controller).answerConfig},
	{"PUT", "config", "", wildcard, (*Controller).replaceConfig},
	{"PATCH", "config", "", wildcard, (*Controller).patchConfig},
	{"GET", "config", "history", wildcard, (*Controller).answerHistory},
	{"GET", "config", "diff", wildcard, (*Controller).answerDiff},
	{"POST", "config", "rollback", wildcard, (*Controller).rollBackConfig},
	{"GET", "changes", wildcard, wildcard, (*Controller).answerChange},
	{"GET", "policies", wildcard, wildcard, (*Controller).answerPolicies},
	{"PUT", "policies", wildcard, wildcard, (*Controller).replacePolicy},
	{"DELETE", "policies", wildcard, wildcard, (*Controller).removePolicy},
	{"GET", "roster", wildcard, wildcard, (*Controller).answerDaemons},
	{"GET", "targets", wildcard, wildcard, (*Controller).answerTargets},
	{"GET", "domains", wildcard, wildcard, (*Controller).answerDomains},
	{"POST", "domains", wildcard, "empty", (*Controller).changeDomain},
	{"POST", "domains", wildcard, "restore", (*Controller).changeDomain},
	{"POST", "gates", wildcard, "forget", (*Controller).forgetProxy},
	{"POST", "core", wildcard, "add", (*Controller).addMember},
	{"POST", "core", wildcard, "remove", (*Controller).removeMemberByOperator},
}

func (r *route) matches(method string, path apiPath) bool {
	return r.method == method && r.resource == path.resource &&
		(r.name == wildcard || r.name == path.name) &&
		(r.action == wildcard || r.action == path.action)
}

// executeRoute executes a call by the first route that matches its method and path, or rejects it with 404.
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

// The types below are response bodies. Their keys stay in alphabetical order, in which clients have always received
// them.

// configAnswer holds the configuration and its revision.
type configAnswer struct {
	Config   json.RawMessage `json:"config"`
	Revision uint64          `json:"revision"`
}

// historyAnswer holds the latest changes, oldest first.
type historyAnswer struct {
	Changes []state.Record `json:"changes"`
}

// daemonsAnswer holds all daemons in the leader's directory.
type daemonsAnswer struct {
	Daemons []DaemonView `json:"daemons"`
}

// targetsAnswer holds the targets as the leader sees them.
type targetsAnswer struct {
	Revision uint64       `json:"revision"`
	Targets  []TargetView `json:"targets"`
}

// policiesAnswer holds the statistics of each outlier policy since this member became the leader. LeadingMilliseconds is
// how long it has been the leader.
type policiesAnswer struct {
	Policies            map[string]outlier.PolicyStats `json:"policies"`
	Revision            uint64                         `json:"revision"`
	LeadingMilliseconds int64                          `json:"since_ms"`
}

// domainsAnswer holds the failure domains, and those of them that are emptied and get no new requests.
type domainsAnswer struct {
	Domains []string `json:"domains"`
	Emptied []string `json:"emptied"`
}

// answerConfig returns the configuration and its revision as separate keys or, with the query key "plain", the bare
// document with the revision inside it.
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

// answerChange returns the record of a change by its token, without the document.
func (c *Controller) answerChange(request *apiRequest) {
	record := c.state.FindRecord(request.path.name)
	if record == nil {
		c.reject(request.call, 404, config.ErrorBody{Code: "not_found", Ran: config.RanUnknown, Message: "no change with this id has been committed so far"})
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

// changeDomain empties or restores a failure domain, according to the action in the path.
func (c *Controller) changeDomain(request *apiRequest) {
	domain := request.path.name
	if !slices.Contains(c.failureDomains(), domain) && !slices.Contains(c.state.EmptiedDomains, domain) {
		c.reject(request.call, 404, config.ErrorBody{Code: "not_found", Message: fmt.Sprintf("no target or proxy is in domain %q", domain)})
		return
	}
	c.proposeOrdered(request, state.Command{Operation: state.Operation(request.path.action), Name: domain})
}

// forgetProxy removes a proxy from the proxy membership if it has stopped pulling its table, and takes the operator's word that
// its process is off. A proxy that still routes requests must stay a member, since a table is in force only once no proxy routes by
// an earlier one.
func (c *Controller) forgetProxy(request *apiRequest) {
	name := request.path.name
	if !c.isProxyMember(name) {
		c.reject(request.call, 404, config.ErrorBody{Code: "not_found", Message: "no such proxy in the proxy membership"})
		return
	}
	if proxy := c.proxies[name]; proxy != nil && request.now-proxy.lastPullAt < tuning.ProxyLive {
		c.reject(request.call, 409, config.ErrorBody{Code: "alive", Message: "that proxy is still pulling its table"})
		return
	}
	c.proposeOrdered(request, state.Command{Operation: state.OpForgetProxy, Name: name})
}

// addMember requests that a control daemon become a member. The daemon is a learner of the log until it has caught up.
func (c *Controller) addMember(request *apiRequest) {
	name := request.path.name
	if slices.Contains(namesOf(c.node.Members()), name) {
		c.reject(request.call, 409, config.ErrorBody{Code: "member", Message: name + " is already a member"})
		return
	}
	if peer := c.directory[name]; peer == nil || peer.Kind != wire.ControlDaemon {
		c.reject(request.call, 404, config.ErrorBody{Code: "not_found", Message: "no control daemon of that name is known"})
		return
	}
	c.proposeOrdered(request, state.Command{Operation: state.OpAddMember, Name: name})
}

// removeMemberByOperator removes a member on an operator's request. If the member is the leader itself, it rejects the
// call and transfers leadership; the operator repeats the call, which the new leader executes.
func (c *Controller) removeMemberByOperator(request *apiRequest) {
	name, members := request.path.name, c.node.Members()
	i := slices.IndexFunc(members, func(m wire.Member) bool { return m.Name == name })
	switch {
	case i < 0:
		c.reject(request.call, 404, config.ErrorBody{Code: "not_found", Message: name + " is not a member"})
	case len(members) == 1 || !c.node.CanChangeMembers():
		c.reject(request.call, 409, config.ErrorBody{Code: "busy", Message: "the last member cannot be removed, and only one membership change may be in progress at a time"})
	case name == c.settings.Self.Name:
		c.reject(request.call, 503, config.ErrorBody{Code: "leading", Message: name + " is the leader and transfers leadership first; nothing was changed; retry"})
		c.node.TransferLeadership(request.now)
	default:
		command := state.Command{Operation: state.OpRemoveMember, Name: name}
		if c.proposeOrdered(request, command) && c.node.CanChangeMembers() {
			c.node.ProposeMembers(request.now, slices.Delete(slices.Clone(members), i, i+1))
		}
	}
}

// answerBody answers a call with a value encoded as JSON.
func (c *Controller) answerBody(call *pendingCall, value any) {
	c.answer(call, statemachine.Reply{Status: 200, Body: reply.Body(value)})
}

// reject answers a call with an HTTP error status and a reason.
func (c *Controller) reject(call *pendingCall, status int, reason config.ErrorBody) {
	c.answer(call, reply.Problem(status, reason))
}
