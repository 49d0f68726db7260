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

// runCommand runs mfctl and returns its exit code and its output to stdout and stderr.
func runCommand(t *testing.T, args ...string) (code int, output string) {
	t.Helper()
	file, err := os.CreateTemp(t.TempDir(), "out")
	if err != nil {
		t.Fatal(err)
	}
	stdout, stderr := os.Stdout, os.Stderr
	os.Stdout, os.Stderr = file, file
	code = Run(args)
	os.Stdout, os.Stderr = stdout, stderr
	file.Close()
	printed, err := os.ReadFile(file.Name())
	if err != nil {
		t.Fatal(err)
	}
	return code, string(printed)
}

// writeDocument writes a file and returns its name.
func writeDocument(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "doc.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// startMember starts an HTTP server in the role of a member and returns its address.
func startMember(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return addressOf(server)
}

func addressOf(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }

// noLeader is the handler of a member that knows no leader.
func noLeader(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
	w.Write(config.ErrorBody{Code: "no_leader", Rejection: config.RejectedUndecided}.JSON())
}

// The sample configurations are valid, and so are the results of the sample changes.
func TestSampleConfigs(t *testing.T) {
	split := []string{"--change", "../../sample/change-split.json", "--change", "../../sample/change-unsplit.json"}
	for name, changes := range map[string][]string{"kelani": nil, "kiyihat": nil, "press": nil, "kelani-routes": nil, "press-routes": nil, "kiyihat-routes": split} {
		if code, out := runCommand(t, append([]string{"config", "check", "../../sample/" + name + ".json"}, changes...)...); code != exitOK {
			t.Errorf("%s: exit code %d, want %d: %s", name, code, exitOK, out)
		}
	}
}

// 'config check' reports every fault with its path, also those that result from a change.
func TestCheckConfig(t *testing.T) {
	bad := writeDocument(t, `{"services":{"a":{"cap":0,"odd":1}},"routes":{"r":{"host":"","prefix":"x","kind":"sometimes","timeout_ms":0,"attempts":1,"service":"b"}}}`)
	code, out := runCommand(t, "config", "check", bad)
	if code != exitInvalid {
		t.Fatalf("invalid configuration: exit code %d, want %d: %s", code, exitInvalid, out)
	}
	for _, at := range []string{"services.a.cap", "services.a.odd", "routes.r.prefix", "routes.r.kind", "routes.r.timeout_ms", "routes.r.service"} {
		if !strings.Contains(out, at+": ") {
			t.Errorf("no fault at %s in the output:\n%s", at, out)
		}
	}
	if code, out := runCommand(t, "config", "check", writeDocument(t, `{"services":`)); code != exitInvalid {
		t.Fatalf("incomplete JSON: exit code %d, want %d: %s", code, exitInvalid, out)
	}
	if code, out := runCommand(t, "config", "check", "no-such-file"); code != exitUsage {
		t.Fatalf("missing file: exit code %d, want %d: %s", code, exitUsage, out)
	}
	for _, c := range []struct{ change, at string }{
		{`{"drop":{"services":["payments"]}}`, "routes.payments.service"},
		{`{"services":{"payments":null}}`, "routes.payments.service"},
		{`{"set":{"routes":[]}}`, "set.routes"},
		{`{"set":{},"more":1}`, "more"},
	} {
		code, out := runCommand(t, "config", "check", "../../sample/kiyihat-routes.json", "--change", writeDocument(t, c.change))
		if code != exitInvalid || !strings.Contains(out, c.at+": ") {
			t.Errorf("change %s: exit code %d, want %d and a fault at %s: %s", c.change, code, exitInvalid, c.at, out)
		}
	}
}

// 'routes list' and 'routes match' work on a file and on the configuration of a member.
func TestRoutesCommand(t *testing.T) {
	doc := writeDocument(t, `{"services":{"a":{},"b":{}},"routes":{
		"all":{"prefix":"/x/","host":"","kind":"repeatable","timeout_ms":500,"attempts":2,"service":"a"},
		"own":{"prefix":"/x/","host":"h.test","kind":"once","timeout_ms":700,"attempts":1,"priority":3,"split":[{"service":"a","weight":1},{"service":"b","weight":3}]}},
		"rules":[{"path":"/y","methods":["GET"],"service":"b"}]}`)
	text, err := os.ReadFile(doc)
	if err != nil {
		t.Fatal(err)
	}
	if _, faults, err := outlier.ParseConfig(text); err != nil || len(faults) > 0 {
		t.Fatalf("test configuration: faults %v, error %v", faults, err)
	}
	member := startMember(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/config" || !r.URL.Query().Has("plain") {
			http.Error(w, "{}", http.StatusNotFound)
			return
		}
		w.Write(text)
	})
	for _, from := range [][]string{{"--config", doc}, {"--at", member}} {
		for _, c := range []struct {
			host, path, method, want string
			code                     int
		}{
			{"other", "/x/1", "GET", "route all: */x/, repeatable, timeout 500 ms, 2 attempts, priority 0, destination a\n", exitOK},
			{"h.test:80", "/x/1/2", "PUT", "route own: h.test/x/, once, timeout 700 ms, 1 attempts, priority 3, destination a 25.0 %, b 75.0 %\n", exitOK},
			{"other", "/y/z", "GET", "rule: destination b\n", exitOK},
			{"other", "/y/z", "PUT", "a rule matches the path but not the method PUT; allowed: GET\n", exitFailed},
			{"other", "/z", "GET", "no route or rule matches: callers get 404\n", exitFailed},
		} {
			args := append([]string{"routes", "match", c.host, c.path, "--method", c.method}, from...)
			if code, out := runCommand(t, args...); code != c.code || out != c.want {
				t.Errorf("%v: exit code %d, output %q; want %d, %q", args, code, out, c.code, c.want)
			}
		}
		code, out := runCommand(t, append([]string{"routes"}, from...)...)
		if lines := strings.Split(strings.TrimSpace(out), "\n"); code != exitOK || len(lines) != 4 || !strings.HasPrefix(lines[1], "all") || !strings.HasPrefix(lines[2], "own") {
			t.Errorf("routes: exit code %d, want the routes all and own and one rule:\n%s", code, out)
		}
	}
}

// 'config set', 'config drop' and 'config put' send the base revision, an id and the revision given by the operator.
// Invalid arguments or documents send nothing.
func TestNamedChangesSent(t *testing.T) {
	var method, query string
	var body map[string]any
	at := startMember(t, func(w http.ResponseWriter, r *http.Request) {
		sent, _ := io.ReadAll(r.Body)
		body = nil
		json.Unmarshal(sent, &body)
		method, query = r.Method+" "+r.URL.Path, r.URL.RawQuery
		daemon.WriteJSON(w, 200, map[string]any{"revision": 12, "id": "x"})
	})
	item := writeDocument(t, `{"cap": 3}`)
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
		code, out := runCommand(t, append(c.args, "--at", at)...)
		sent, _ := json.Marshal(body)
		if code != exitOK || method != c.call || string(sent) != c.want || !strings.Contains(query, "base=4") || !strings.Contains(query, "id=") {
			t.Errorf("%v: exit code %d, output %s; sent %s?%s %s, want %s %s", c.args, code, out, method, query, sent, c.call, c.want)
		}
	}
	method = ""
	for _, args := range [][]string{{"config", "set", "odd", "a", item, "--base", "4"}, {"config", "drop", "routes", "--base", "4"}} {
		if code, out := runCommand(t, append(args, "--at", at)...); code != exitUsage || method != "" {
			t.Errorf("%v: exit code %d, want %d and no request: %s", args, code, exitUsage, out)
		}
	}
	if code, out := runCommand(t, "config", "set", "routes", "a", writeDocument(t, "{"), "--base", "4", "--at", at); code != exitInvalid || method != "" {
		t.Errorf("invalid JSON: exit code %d, want %d and no request: %s", code, exitInvalid, out)
	}
}

// 'status' queries the members given on the command line and then the other control daemons that they know, each once.
func TestStatusQueriesAllMembers(t *testing.T) {
	queries := map[string]int{}
	member := func(name string, roster func() []map[string]any) string {
		return startMember(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/v1/roster" {
				daemon.WriteJSON(w, 200, map[string]any{"daemons": roster()})
				return
			}
			queries[name]++
			daemon.WriteJSON(w, 200, map[string]any{"name": name, "role": "follower"})
		})
	}
	var a, b string
	roster := func() []map[string]any {
		daemons := []map[string]any{{"Name": "g", "Kind": wire.ProxyDaemon, "Http": "192.0.2.1:1"}}
		for _, addr := range []string{a, b} {
			daemons = append(daemons, map[string]any{"Kind": wire.ControlDaemon, "Http": addr})
		}
		return daemons
	}
	a, b = member("a", roster), member("b", roster)
	code, out := runCommand(t, "status", "--at", a)
	if code != exitOK || queries["a"] != 1 || queries["b"] != 1 || strings.Count(out, "follower") != 2 {
		t.Fatalf("exit code %d, queries %v; want %d, one query and one line for each member: %s", code, queries, exitOK, out)
	}
}

// A rejection is printed with its kind and code, and sets the exit code.
func TestRejectionExitCodes(t *testing.T) {
	for _, c := range []struct {
		status int
		body   config.ErrorBody
		code   int
		want   string
	}{
		{412, config.ErrorBody{Code: "stale", Rejection: config.RejectedVersion}, exitStale, "stale version (stale)"},
		{422, config.ErrorBody{Code: "invalid", Rejection: config.RejectedInvalid}, exitInvalid, "invalid (invalid)"},
		{503, config.ErrorBody{Code: "no_leader", Rejection: config.RejectedUndecided}, exitNoLeader, "no definite answer (no_leader)"},
		{504, config.ErrorBody{Code: "unknown", Rejection: config.RejectedUndecided}, exitUnknown, "no definite answer (unknown)"},
		{409, config.ErrorBody{Code: "member", Rejection: config.RejectedConflict}, exitFailed, "conflict (member)"},
		{404, config.ErrorBody{Code: "not_found", Rejection: config.RejectedNotFound}, exitFailed, "not found (not_found)"},
	} {
		t.Run(c.body.Code, func(t *testing.T) {
			member := startMember(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				w.Write(c.body.JSON())
			})
			code, out := runCommand(t, "--wait", "0s", "--at", member, "domain", "empty", "north")
			if code != c.code || !strings.Contains(out, "mfctl: "+c.want+": ") {
				t.Errorf("status %d: exit code %d, output %q; want %d, %q", c.status, code, out, c.code, c.want)
			}
		})
	}
}

// If one member responds and another is down, the response is printed and not the connection error.
func TestResponsePreferredToConnectionError(t *testing.T) {
	server := httptest.NewServer(nil)
	down := addressOf(server)
	server.Close()
	up := startMember(t, noLeader)
	code, out := runCommand(t, "--wait", "100ms", "--at", up, "--at", down, "domain", "empty", "north")
	if code != exitNoLeader || !strings.Contains(out, "no definite answer (no_leader)") {
		t.Errorf("exit code %d, want %d: %s", code, exitNoLeader, out)
	}
}

// A change whose response was lost may have been applied. A 503 from another member before or after it must not be
// reported as 'nothing changed'. The outcome of a read is never reported as unknown.
func TestLostResponseIsUnknownOutcome(t *testing.T) {
	broken := startMember(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	idle := startMember(t, noLeader)
	for _, order := range [][]string{{broken, idle}, {idle, broken}} {
		code, out := runCommand(t, "--wait", "100ms", "--at", order[0], "--at", order[1], "domain", "empty", "north")
		if code != exitUnknown || !strings.Contains(out, "no definite answer (unknown)") || !strings.Contains(out, "  id 20") {
			t.Errorf("exit code %d, want %d and the id of the change: %s", code, exitUnknown, out)
		}
	}
	code, out := runCommand(t, "--wait", "100ms", "--at", broken, "--at", idle, "targets")
	if code != exitNoLeader || !strings.Contains(out, "no_leader") {
		t.Errorf("read: exit code %d, want %d: %s", code, exitNoLeader, out)
	}
}
