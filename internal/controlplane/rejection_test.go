package controlplane

import (
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"myrtlefold/internal/shared/statemachine"
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
	"myrtlefold/internal/shared/wire"
)

// refusals are all errors that the operators' interface answers with: the kind of
// each code. A new code has to be entered here, with the kind that its readers see.
var refusals = map[string][]config.Rejection{
	"stale":        {config.RejectedVersion},
	"invalid":      {config.RejectedInvalid},
	"not_json":     {config.RejectedInvalid},
	"too_large":    {config.RejectedInvalid},
	"method":       {config.RejectedInvalid},
	"base_missing": {config.RejectedInvalid},
	"bad_request":  {config.RejectedInvalid},
	"no_leader":    {config.RejectedUndecided},
	"leading":      {config.RejectedUndecided},
	"unheard":      {config.RejectedUndecided},
	"unknown":      {config.RejectedUndecided},
	"stream":       {config.RejectedUndecided},
	"busy":         {config.RejectedUndecided, config.RejectedConflict},
	"alive":        {config.RejectedConflict},
	"member":       {config.RejectedConflict},
	"living":       {config.RejectedConflict},
	"may_live":     {config.RejectedConflict},
	"not_found":    {config.RejectedNotFound},
}

// replyPath is one place in the source that answers with an error.
type replyPath struct {
	at     token.Position
	status int // 0: not a literal
	code   string
}

// replyPaths finds every ErrorBody literal of a package, and the status of the call that it
// is an argument of.
func replyPaths(t *testing.T, dir string) (l []replyPath) {
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
				if c, ok := troubleCode(a); ok {
					l = append(l, replyPath{files.Position(a.Pos()), status, c})
				}
			}
			return true
		})
	}
	return l
}

// troubleCode is the code of an ErrorBody literal, "" if that is computed.
func troubleCode(x ast.Expr) (code string, ok bool) {
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

// Every way to refuse a call says of which kind the refusal is, and always the same for a code.
func TestEveryRefusalSaysItsKind(t *testing.T) {
	seen := map[string]bool{}
	for _, dir := range []string{".", "../shared/targetreport", "../daemon"} {
		paths := replyPaths(t, dir)
		if len(paths) < 3 {
			t.Fatalf("%s: only %d reply paths found", dir, len(paths))
		}
		for _, p := range paths {
			if p.code == "" {
				continue // its codes are named where they are computed
			}
			seen[p.code] = true
			kinds, known := refusals[p.code]
			if !known {
				t.Errorf("%v: code %q has no kind", p.at, p.code)
			}
			if p.status == 0 {
				continue
			}
			kind, fits := config.RejectionOf(p.status), false
			for _, k := range kinds {
				fits = fits || k == kind
			}
			if !fits {
				t.Errorf("%v: status %d of code %q is of kind %q, not of %v", p.at, p.status, p.code, kind, kinds)
			}
		}
	}
	for _, code := range []string{"stale", "invalid", "no_leader", "unknown", "not_found"} {
		if !seen[code] {
			t.Errorf("no reply path with code %q was found", code)
		}
	}
}

// refusal is what a refused call is answered with.
type refusal struct {
	status int
	code   string
	kind   config.Rejection
}

// ask makes a call of a core and reads the refusal.
func ask(t *testing.T, c *Controller, now time.Duration, method, path, query, body string) refusal {
	t.Helper()
	for _, cmd := range c.Step(now, statemachine.Call{ID: 1, Token: "t-" + query + body, Method: method, Path: path, Query: query, Body: []byte(body)}) {
		r, ok := cmd.(statemachine.Reply)
		if !ok {
			continue
		}
		var v struct{ Error config.ErrorBody }
		if err := json.Unmarshal(r.Body, &v); err != nil {
			t.Fatalf("%d %s: %v", r.Status, r.Body, err)
		}
		return refusal{r.Status, v.Error.Code, v.Error.Rejection}
	}
	t.Fatalf("%s %s?%s: not answered", method, path, query)
	return refusal{}
}

// The three kinds that a change may meet, as a caller reads them.
func TestRefusalsOfChanges(t *testing.T) {
	r := newIdleFleet(1, 1)
	alone := New(time.Second, Settings{Self: wire.Daemon{Name: "c1", Kind: wire.ControlDaemon, Addr: "c1", Incarnation: 1}, BootstrapSize: 3}, consensus.PersistentState{Disk: 7})
	for _, x := range []struct {
		name        string
		c           *Controller
		query, body string
		want        refusal
	}{
		{"built on another version", r.controller, "base=9", `{"services":{}}`, refusal{412, "stale", config.RejectedVersion}},
		{"invalid", r.controller, "base=0", `{"services":{"a":{"cap":-1}}}`, refusal{422, "invalid", config.RejectedInvalid}},
		{"not JSON", r.controller, "base=0", `{`, refusal{400, "not_json", config.RejectedInvalid}},
		{"no base", r.controller, "", `{}`, refusal{428, "base_missing", config.RejectedInvalid}},
		{"no leader", alone, "base=0", `{}`, refusal{503, "no_leader", config.RejectedUndecided}},
	} {
		if got := ask(t, x.c, r.now, "PUT", "/v1/config", x.query, x.body); got != x.want {
			t.Errorf("%s: %+v, want %+v", x.name, got, x.want)
		}
	}
}

// The operators' page names every refusal and every counter of the core.
func TestOperatorsPageNamesAll(t *testing.T) {
	b, err := os.ReadFile("../../docs/operate.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(b)
	for code, kinds := range refusals {
		for _, k := range kinds {
			if !strings.Contains(page, "`"+code+"`") || !strings.Contains(page, "`"+string(k)+"`") {
				t.Errorf("docs/operate.md does not name %s, %s", code, k)
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
			t.Errorf("docs/operate.md does not name the counter %s", shown)
		}
	}
}
