package controlplane

import (
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"myrtlefold/internal/controlplane/consensus"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// rejectionKinds maps each error code of the HTTP API to the rejection kinds that clients may get with it. A new code has
// to be added here.
var rejectionKinds = map[string][]config.Rejection{
	"stale":           {config.RejectedVersion},
	"invalid":         {config.RejectedInvalid},
	"not_json":        {config.RejectedInvalid},
	"too_large":       {config.RejectedInvalid},
	"method":          {config.RejectedInvalid},
	"base_missing":    {config.RejectedInvalid},
	"bad_request":     {config.RejectedInvalid},
	"no_leader":       {config.RejectedUndecided},
	"leading":         {config.RejectedUndecided},
	"unheard":         {config.RejectedUndecided},
	"unknown":         {config.RejectedUndecided},
	"overtaken":       {config.RejectedUndecided},
	"body_timeout":    {config.RejectedUndecided},
	"body_incomplete": {config.RejectedInvalid},
	"unanswered":      {config.RejectedUndecided},
	"stream":          {config.RejectedUndecided},
	"busy":            {config.RejectedUndecided, config.RejectedConflict},
	"alive":           {config.RejectedConflict},
	"member":          {config.RejectedConflict},
	"living":          {config.RejectedConflict},
	"may_live":        {config.RejectedConflict},
	"not_found":       {config.RejectedNotFound},
}

// errorReply is a place in the source that answers with an error.
type errorReply struct {
	at     token.Position
	status int    // HTTP status, 0 if it is not a literal
	code   string // error code, "" if it is not a literal
}

// errorReplies returns every ErrorBody literal that is a call's argument in a package's non-test files, with the status
// that is passed to the same call.
func errorReplies(t *testing.T, dir string) (replies []errorReply) {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	files := token.NewFileSet()
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(files, name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(f, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			status := 0
			for _, a := range call.Args {
				if b, ok := a.(*ast.BasicLit); ok && b.Kind == token.INT && status == 0 {
					status, _ = strconv.Atoi(b.Value)
				}
				if c, ok := errorCode(a); ok {
					replies = append(replies, errorReply{files.Position(a.Pos()), status, c})
				}
			}
			return true
		})
	}
	return replies
}

// errorCode returns the code of an ErrorBody literal, "" if the code is not a literal. ok is false for other expressions.
func errorCode(x ast.Expr) (code string, ok bool) {
	lit, ok := x.(*ast.CompositeLit)
	if !ok {
		return "", false
	}
	if s, ok := lit.Type.(*ast.SelectorExpr); !ok || s.Sel.Name != "ErrorBody" {
		return "", false
	}
	for _, e := range lit.Elts {
		kv, ok := e.(*ast.KeyValueExpr)
		if !ok || kv.Key.(*ast.Ident).Name != "Code" {
			continue
		}
		if b, ok := kv.Value.(*ast.BasicLit); ok {
			code, _ = strconv.Unquote(b.Value)
		}
	}
	return code, true
}

// Every error reply has a known code, and a status that implies one of the rejection kinds of that code. Clients decide
// by the kind whether to retry, so a new code must not get a wrong one.
func TestErrorRepliesHaveKnownKinds(t *testing.T) {
	seen := map[string]bool{}
	for _, dir := range []string{".", "../shared/targetreport", "../daemon"} {
		replies := errorReplies(t, dir)
		if len(replies) < 3 {
			t.Fatalf("%s: only %d error replies found, want at least 3", dir, len(replies))
		}
		for _, p := range replies {
			if p.code == "" {
				if dir != "../daemon" {
					t.Errorf("%v: the error code is not a literal, so it can't be checked", p.at)
				}
				continue // the daemon computes some of its codes
			}
			seen[p.code] = true
			kinds, known := rejectionKinds[p.code]
			if !known {
				t.Errorf("%v: code %q is missing from rejectionKinds", p.at, p.code)
			}
			if p.status == 0 {
				if dir != "../daemon" {
					t.Errorf("%v: the status for code %q is not a literal, so it can't be checked", p.at, p.code)
				}
				continue
			}
			kind, fits := config.RejectionOf(p.status), false
			for _, k := range kinds {
				fits = fits || k == kind
			}
			if !fits {
				t.Errorf("%v: status %d for code %q implies kind %q, want one of %v", p.at, p.status, p.code, kind, kinds)
			}
		}
	}
	for _, code := range []string{"stale", "invalid", "no_leader", "unknown", "not_found"} {
		if !seen[code] {
			t.Errorf("no error reply with code %q found", code)
		}
	}
}

// rejection is the answer to a rejected call.
type rejection struct {
	status int
	code   string
	kind   config.Rejection
}

// rejectedChange requests a change of the configuration from a control daemon, and returns the rejection.
func rejectedChange(t *testing.T, c *Controller, now time.Duration, query, body string) rejection {
	t.Helper()
	call := statemachine.Call{ID: 1, Token: "t-" + query + body, Method: "PUT", Path: "/v1/config", Query: query, Body: []byte(body)}
	for _, command := range c.Step(now, call) {
		answer, ok := command.(statemachine.Reply)
		if !ok {
			continue
		}
		var content struct{ Error config.ErrorBody }
		if err := json.Unmarshal(answer.Body, &content); err != nil {
			t.Fatalf("answer %d %s can't be decoded: %v", answer.Status, answer.Body, err)
		}
		return rejection{answer.Status, content.Error.Code, content.Error.Rejection}
	}
	t.Fatalf("PUT /v1/config?%s got no answer", query)
	return rejection{}
}

// A rejected change is answered with the status, code and kind from which its caller can tell what to do next.
func TestRejectionsOfChanges(t *testing.T) {
	leader := newIdleFleet(1, 1)
	self := wire.Daemon{Name: "c1", Kind: wire.ControlDaemon, Addr: "c1", Incarnation: 1}
	leaderless := New(time.Second, Settings{Self: self, BootstrapSize: 3}, consensus.PersistentState{Disk: 7})
	for _, c := range []struct {
		name        string
		controller  *Controller
		query, body string
		want        rejection
	}{
		{"based on another revision", leader.controller, "base=9", `{"services":{}}`, rejection{412, "stale", config.RejectedVersion}},
		{"invalid", leader.controller, "base=0", `{"services":{"a":{"cap":-1}}}`, rejection{422, "invalid", config.RejectedInvalid}},
		{"not JSON", leader.controller, "base=0", `{`, rejection{400, "not_json", config.RejectedInvalid}},
		{"no base", leader.controller, "", `{}`, rejection{428, "base_missing", config.RejectedInvalid}},
		{"no leader", leaderless, "base=0", `{}`, rejection{503, "no_leader", config.RejectedUndecided}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := rejectedChange(t, c.controller, leader.now, c.query, c.body); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

// docs/operate.md lists every rejection code and kind, and every counter of a control daemon.
func TestOperatorDocsListRejectionsAndCounters(t *testing.T) {
	b, err := os.ReadFile("../../docs/operate.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(b)
	for code, kinds := range rejectionKinds {
		for _, k := range kinds {
			if !strings.Contains(page, "`"+code+"`") || !strings.Contains(page, "`"+string(k)+"`") {
				t.Errorf("docs/operate.md does not list code %s or kind %s", code, k)
			}
		}
	}
	counts := reflect.TypeFor[Counts]()
	for i := range counts.NumField() {
		field := counts.Field(i)
		shown := field.Tag.Get("metric")
		if shown == "" {
			shown = strings.ToLower(regexp.MustCompile("(.)([A-Z])").ReplaceAllString(field.Name, "${1}_${2}"))
		}
		if !strings.Contains(page, "`"+shown+"`") {
			t.Errorf("docs/operate.md does not list the counter %s", shown)
		}
	}
}
