package mfctl

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"myrtlefold/internal/daemon"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/wire"
)

// said runs mfctl and gives its exit code and what it said on both of its outputs.
func said(t *testing.T, args ...string) (int, string) {
	t.Helper()
	f, err := os.CreateTemp(t.TempDir(), "out")
	if err != nil {
		t.Fatal(err)
	}
	out, fail := os.Stdout, os.Stderr
	os.Stdout, os.Stderr = f, f
	code := Run(args)
	os.Stdout, os.Stderr = out, fail
	f.Close()
	b, err := os.ReadFile(f.Name())
	if err != nil {
		t.Fatal(err)
	}
	return code, string(b)
}

func write(t *testing.T, text string) string {
	t.Helper()
	f := filepath.Join(t.TempDir(), "doc.json")
	if err := os.WriteFile(f, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return f
}

// Every sample of a configuration is sound, and the changes on them.
func TestSamples(t *testing.T) {
	changes := []string{"--change", "../../sample/change-split.json", "--change", "../../sample/change-unsplit.json"}
	for f, more := range map[string][]string{"kelani": nil, "kiyihat": nil, "press": nil, "kelani-routes": nil, "press-routes": nil, "kiyihat-routes": changes} {
		if code, out := said(t, append([]string{"config", "check", "../../sample/" + f + ".json"}, more...)...); code != exitOK {
			t.Errorf("%s: %d %s", f, code, out)
		}
	}
}

// A check without any fleet names every fault by its place, also in what a change leads to.
func TestCheckConfig(t *testing.T) {
	bad := write(t, `{"services":{"a":{"cap":0,"odd":1}},"routes":{"r":{"host":"","prefix":"x","kind":"sometimes","timeout_ms":0,"attempts":1,"service":"b"}}}`)
	code, out := said(t, "config", "check", bad)
	if code != exitInvalid {
		t.Fatal(code, out)
	}
	for _, at := range []string{"services.a.cap", "services.a.odd", "routes.r.prefix", "routes.r.kind", "routes.r.timeout_ms", "routes.r.service"} {
		if !strings.Contains(out, at+": ") {
			t.Errorf("%s is not named in\n%s", at, out)
		}
	}
	if code, out := said(t, "config", "check", write(t, `{"services":`)); code != exitInvalid {
		t.Fatal(code, out)
	}
	if code, out := said(t, "config", "check", "no-such-file"); code != exitUsage {
		t.Fatal(code, out)
	}
	for _, c := range []struct{ change, at string }{
		{`{"drop":{"services":["payments"]}}`, "routes.payments.service"},
		{`{"services":{"payments":null}}`, "routes.payments.service"},
		{`{"set":{"routes":[]}}`, "set.routes"},
		{`{"set":{},"more":1}`, "more"},
	} {
		code, out := said(t, "config", "check", "../../sample/kiyihat-routes.json", "--change", write(t, c.change))
		if code != exitInvalid || !strings.Contains(out, c.at+": ") {
			t.Errorf("%s: %d %s", c.change, code, out)
		}
	}
}

// Routes are listed and matched, from a file or from a member.
func TestCtlRoutes(t *testing.T) {
	doc := write(t, `{"services":{"a":{},"b":{}},"routes":{
		"all":{"prefix":"/x/","host":"","kind":"repeatable","timeout_ms":500,"attempts":2,"service":"a"},
		"own":{"prefix":"/x/","host":"h.test","kind":"once","timeout_ms":700,"attempts":1,"priority":3,"split":[{"service":"a","weight":1},{"service":"b","weight":3}]}},
		"rules":[{"path":"/y","methods":["GET"],"service":"b"}]}`)
	b, _ := os.ReadFile(doc)
	if _, faults, err := outlier.ParseConfig(b); err != nil || len(faults) > 0 {
		t.Fatal(faults, err)
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/config" || !r.URL.Query().Has("plain") {
			http.Error(w, "{}", 404)
			return
		}
		w.Write(b)
	}))
	defer srv.Close()
	for _, from := range [][]string{{"--config", doc}, {"--at", strings.TrimPrefix(srv.URL, "http://")}} {
		for _, c := range []struct {
			host, path, method, want string
			code                     int
		}{
			{"other", "/x/1", "GET", "route all: */x/, repeatable, 500 ms, 2 attempts, priority 0, goes to a\n", exitOK},
			{"h.test:80", "/x/1/2", "PUT", "route own: h.test/x/, once, 700 ms, 1 attempts, priority 3, goes to a 25.0 %, b 75.0 %\n", exitOK},
			{"other", "/y/z", "GET", "a rule: goes to b\n", exitOK},
			{"other", "/y/z", "PUT", "a rule takes that path, but not by PUT: only by GET\n", exitFailed},
			{"other", "/z", "GET", "nothing takes it: callers get 404\n", exitFailed},
		} {
			args := append([]string{"routes", "match", c.host, c.path, "--method", c.method}, from...)
			if code, out := said(t, args...); code != c.code || out != c.want {
				t.Errorf("%v: %d %q", args, code, out)
			}
		}
		code, out := said(t, append([]string{"routes"}, from...)...)
		if lines := strings.Split(strings.TrimSpace(out), "\n"); code != exitOK || len(lines) != 4 || !strings.HasPrefix(lines[1], "all") || !strings.HasPrefix(lines[2], "own") {
			t.Errorf("%d %s", code, out)
		}
	}
}

// What set, drop and put send carries the operator's own number, the base and an id.
func TestNamedChangesSent(t *testing.T) {
	var method, query string
	var body map[string]any
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		body = nil
		json.Unmarshal(b, &body)
		method, query = r.Method+" "+r.URL.Path, r.URL.RawQuery
		daemon.WriteJSON(w, 200, map[string]any{"revision": 12, "id": "x"})
	}))
	defer srv.Close()
	at := strings.TrimPrefix(srv.URL, "http://")
	item := write(t, `{"cap": 3}`)
	for _, c := range []struct {
		args       []string
		call, want string
	}{
		{[]string{"config", "set", "services", "a", item, "--base", "4"}, "PATCH /v1/config", `{"set":{"services":{"a":{"cap":3}}}}`},
		{[]string{"config", "set", "services", "a", item, "--base", "4", "--revision", "12"}, "PATCH /v1/config", `{"revision":12,"set":{"services":{"a":{"cap":3}}}}`},
		{[]string{"config", "drop", "routes", "r", "s", "--base", "4"}, "PATCH /v1/config", `{"drop":{"routes":["r","s"]}}`},
		{[]string{"config", "put", item, "--base", "4", "--revision", "12"}, "PUT /v1/config", `{"cap":3,"revision":12}`},
		{[]string{"config", "put", item, "--base", "4"}, "PUT /v1/config", `{"cap":3}`},
	} {
		code, out := said(t, append(c.args, "--at", at)...)
		b, _ := json.Marshal(body)
		if code != exitOK || method != c.call || string(b) != c.want || !strings.Contains(query, "base=4") || !strings.Contains(query, "id=") {
			t.Errorf("%v: %d %s; %s ?%s %s", c.args, code, out, method, query, b)
		}
	}
	method = ""
	for _, args := range [][]string{{"config", "set", "odd", "a", item, "--base", "4"}, {"config", "drop", "routes", "--base", "4"}} {
		if code, out := said(t, append(args, "--at", at)...); code != exitUsage || method != "" {
			t.Errorf("%v: %d %s", args, code, out)
		}
	}
	if code, out := said(t, "config", "set", "routes", "a", write(t, "{"), "--base", "4", "--at", at); code != exitInvalid || method != "" {
		t.Error(code, out)
	}
}

// Status asks the members that are named, then those of the roster, each once.
func TestStatusOfAllMembers(t *testing.T) {
	asked := map[string]int{}
	member := func(name string, roster func() []map[string]any) *httptest.Server {
		return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/roster" {
				daemon.WriteJSON(w, 200, map[string]any{"daemons": roster()})
				return
			}
			asked[name]++
			daemon.WriteJSON(w, 200, map[string]any{"name": name, "role": "follower"})
		}))
	}
	var a, b *httptest.Server
	roster := func() []map[string]any {
		l := []map[string]any{{"Name": "g", "Kind": wire.ProxyDaemon, "Http": "192.0.2.1:1"}}
		for _, s := range []*httptest.Server{a, b} {
			l = append(l, map[string]any{"Kind": wire.ControlDaemon, "Http": strings.TrimPrefix(s.URL, "http://")})
		}
		return l
	}
	a, b = member("a", roster), member("b", roster)
	defer a.Close()
	defer b.Close()
	code, out := said(t, "status", "--at", strings.TrimPrefix(a.URL, "http://"))
	if code != exitOK || asked["a"] != 1 || asked["b"] != 1 || strings.Count(out, "follower") != 2 {
		t.Fatal(code, asked, out)
	}
}

// A refusal is told by its kind, and its code names the cause; mfctl ends with the kind's code.
func TestCtlSaysWhichRefusal(t *testing.T) {
	for _, x := range []struct {
		status int
		t      config.ErrorBody
		code   int
		want   string
	}{
		{412, config.ErrorBody{Code: "stale", Rejection: config.RejectedVersion}, exitStale, "another version (stale)"},
		{422, config.ErrorBody{Code: "invalid", Rejection: config.RejectedInvalid}, exitInvalid, "invalid (invalid)"},
		{503, config.ErrorBody{Code: "no_leader", Rejection: config.RejectedUndecided}, exitNoLeader, "cannot tell now (no_leader)"},
		{504, config.ErrorBody{Code: "unknown", Rejection: config.RejectedUndecided}, exitUnknown, "cannot tell now (unknown)"},
		{409, config.ErrorBody{Code: "member", Rejection: config.RejectedConflict}, exitFailed, "conflict (member)"},
		{404, config.ErrorBody{Code: "not_found", Rejection: config.RejectedNotFound}, exitFailed, "not found (not_found)"},
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(x.status)
			w.Write(x.t.JSON())
		}))
		code, out := said(t, "--wait", "0s", "--at", strings.TrimPrefix(srv.URL, "http://"), "domain", "empty", "north")
		srv.Close()
		if code != x.code || !strings.Contains(out, "mfctl: "+x.want+": ") {
			t.Errorf("%d: exit %d, %q; want %d, %q", x.status, code, out, x.code, x.want)
		}
	}
}

// While some members are down, what the others answer is told, not that those are down.
func TestCtlTellsTheAnswerThatItGot(t *testing.T) {
	down := httptest.NewServer(nil)
	down.Close()
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(503)
		w.Write(config.ErrorBody{Code: "no_leader", Rejection: config.RejectedUndecided}.JSON())
	}))
	defer up.Close()
	at := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	code, out := said(t, "--wait", "100ms", "--at", at(up), "--at", at(down), "domain", "empty", "north")
	if code != exitNoLeader || !strings.Contains(out, "cannot tell now (no_leader)") {
		t.Error(code, out)
	}
}

// A change whose answer was lost may have been taken: a later 'nothing was changed' of
// another member does not say that it was not.
func TestCtlLostAnswerIsUnknown(t *testing.T) {
	broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer broken.Close()
	idle := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(503)
		w.Write(config.ErrorBody{Code: "no_leader", Rejection: config.RejectedUndecided}.JSON())
	}))
	defer idle.Close()
	at := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	for _, order := range [][]string{{at(broken), at(idle)}, {at(idle), at(broken)}} {
		code, out := said(t, "--wait", "100ms", "--at", order[0], "--at", order[1], "domain", "empty", "north")
		if code != exitUnknown || !strings.Contains(out, "cannot tell now (unknown)") || !strings.Contains(out, "  id 20") {
			t.Error(code, out)
		}
	}
	code, out := said(t, "--wait", "100ms", "--at", at(broken), "--at", at(idle), "targets")
	if code != exitNoLeader || !strings.Contains(out, "no_leader") {
		t.Error(code, out)
	}
}
