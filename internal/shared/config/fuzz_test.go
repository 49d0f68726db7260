package config

import (
	"bytes"
	"encoding/json"
	"testing"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

var fuzzDocuments = []string{
	`{}`, ``, `null`, `[]`, `{"services":null}`, `{"services":{"a":{}}}`, `{"services":{"a":{}},"services":{"b":{}}}`,
	`{"services":{"fares":{"cap":8,"warm_cap":2,"cold_per_s":3.5,"cold_s":4}},"routes":{"r":{"prefix":"/f/","kind":"repeatable","timeout_ms":900,"aim_ms":300,"attempts":2,"service":"fares"}}}`,
	`{"services":{"a":{},"b":{}},"routes":{"r":{"host":"h","prefix":"/","kind":"once","timeout_ms":1,"attempts":1,"split":[{"service":"a","weight":1},{"service":"b","weight":3}]}}}`,
	`{"services":{"a":{"cap":-1}},"routes":{"r":{"prefix":"x","kind":"maybe","timeout_ms":1e99,"attempts":0,"service":"none"}},"junk":1}`,
	`{"services":{"a":{"cap":1.5}}}`, `{"revision":18446744073709551616}`, `{"revision":0}`, `{"rules":[{"path":"/a","service":"a"},{"path":"/a","service":"a"}]}`,
	`{"services":{"a":{}},"aims":{"x":{"service":"a"}},"policies":{"p":{"when":"true"}}}`, "{\"services\":{\"\\u0000\":{}}}", `{"services":{"` + "\xff" + `":{}}}`,
}

// checkFaults checks that each fault has a text and a path.
func checkFaults(t *testing.T, fs []Fault) {
	t.Helper()
	for _, f := range fs {
		if f.Text == "" || f.Path == "" {
			t.Fatalf("a fault without a text or a path: %+v", f)
		}
	}
}

// Parse returns a valid configuration, faults with their paths, or an error, and does not modify the document. A valid
// document stays valid when WithRevision numbers it.
func FuzzParse(f *testing.F) {
	for _, c := range fuzzDocuments {
		f.Add([]byte(c))
	}
	f.Fuzz(func(t *testing.T, doc []byte) {
		original := bytes.Clone(doc)
		cfg, faults, err := Parse(doc, acceptPolicy)
		if !bytes.Equal(doc, original) {
			t.Fatal("Parse modified the document")
		}
		checkFaults(t, faults)
		switch {
		case err != nil && cfg != nil:
			t.Fatal("Parse returned both an error and a configuration")
		case err == nil && cfg == nil && len(faults) == 0:
			t.Fatal("Parse returned neither a configuration nor a fault nor an error")
		case err == nil && len(faults) == 0:
			for _, r := range cfg.Routes {
				for _, s := range r.Shares() {
					if _, ok := cfg.Services[s.Service]; !ok {
						t.Fatalf("a valid route refers to the unknown service %q", s.Service)
					}
				}
			}
			n, err := WithRevision(doc, 7)
			if err != nil {
				t.Fatal(err)
			}
			if _, faults, err = Parse(n, acceptPolicy); err != nil || len(faults) > 0 {
				t.Fatalf("with a revision the document is no longer valid: error %v, faults %v\n%s", err, faults, n)
			}
		}
	})
}

// A named change parses, or has faults or an error. Applied to a document it returns a JSON object without the dropped
// items, does not modify the document, and is idempotent.
func FuzzNamedChange(f *testing.F) {
	for i, p := range []string{
		`{"set":{"services":{"a":{"cap":3}}}}`, `{"drop":{"services":["a"],"routes":["r"]}}`, `{"revision":7,"set":{"routes":{}},"drop":{}}`,
		`{"set":null}`, `{"set":{"services":null}}`, `{"set":{"services":{"a":null}}}`, `{"drop":{"services":{"a":1}}}`, `{"drop":{"services":[1]}}`, `{"revision":0}`,
		`{"revision":-1}`, `{"revision":1.5}`, `{"sett":{}}`, ``, `[]`, `null`, `{"set":{"revision":{"x":1}}}`, `{"set":{"services":{"a":{}}},"drop":{"services":["a"]}}`,
	} {
		f.Add([]byte(fuzzDocuments[(i+6)%len(fuzzDocuments)]), []byte(p))
	}
	f.Fuzz(func(t *testing.T, doc, patch []byte) {
		original := bytes.Clone(doc)
		IsNamedChange(patch)
		n, faults, err := ParseNamedChange(patch)
		checkFaults(t, faults)
		if err != nil || len(faults) > 0 {
			return
		}
		out, faults, err := n.Apply(doc)
		checkFaults(t, faults)
		if !bytes.Equal(doc, original) {
			t.Fatal("Apply modified the document")
		}
		if err != nil {
			if len(out) > 0 {
				t.Fatal("Apply returned both an error and a document")
			}
			return
		}
		if len(faults) > 0 {
			return
		}
		var parts map[string]json.RawMessage
		if json.Unmarshal(out, &parts) != nil {
			t.Fatalf("the changed document is not a JSON object: %s", out)
		}
		again, faults, err := n.Apply(out)
		if err != nil || len(faults) > 0 || !bytes.Equal(out, again) {
			t.Fatalf("applied twice, the change gives another document: error %v, faults %v\nonce  %s\ntwice %s", err, faults, out, again)
		}
		for k, names := range n.Drop {
			var items map[string]json.RawMessage
			json.Unmarshal(parts[k], &items)
			for _, name := range names {
				if _, set := n.Set[k][name]; !set && items[name] != nil {
					t.Fatalf("%s/%s was dropped and is still in the document", k, name)
				}
			}
		}
		Parse(out, acceptPolicy)
	})
}

// A target's report, with the name in the body or in the path, gives a valid target or faults.
func FuzzTargetReport(f *testing.F) {
	for _, report := range []string{
		`{"service":"s","name":"a","incarnation":7,"address":"10.0.0.1:80","state":"ready"}`,
		`{"service":"s","address":"[::1]:80","state":"warming","slots":4,"cold_left_ms":900,"number":3,"domain":"d","demand":0.5}`,
		`{"service":"","address":":0","state":"no","slots":-1,"cold_left_ms":-1,"demand":-3}`, `{"demand":1e999}`, `{"slots":1e30}`, `{"cold_left_ms":9223372036854775807}`,
		``, `null`, `[]`, `"x"`, `{"incarnation":"7"}`, `{"state":["ready"]}`, `{"service":"` + "\x00" + `"}`,
	} {
		f.Add("a", []byte(report))
	}
	f.Add("", []byte(`{"service":"s","address":"10.0.0.1:80","state":"ready"}`))
	f.Fuzz(func(t *testing.T, name string, body []byte) {
		for _, named := range []bool{false, true} {
			parse := ParseTargetReport
			if named {
				parse = func(b []byte) (wire.Target, []Fault) { return ParseNamedTargetReport(name, b) }
			}
			target, faults := parse(body)
			if json.Valid(body) && bytes.HasPrefix(bytes.TrimSpace(body), []byte("{")) { // else the fault has no path
				checkFaults(t, faults)
			}
			if len(faults) > 0 {
				continue
			}
			if target.Service == "" || target.Name == "" || target.Incarnation == 0 || target.Addr == "" || target.State == "" || target.Demand < 0 ||
				target.Slots > tuning.SlotsMax || target.WarmupLeft < 0 || target.WarmupLeft > int64(tuning.WarmupMax) {
				t.Fatalf("the invalid target %+v has no faults", target)
			}
			if named && target.Name != name {
				t.Fatalf("the report of %q gives target %q", name, target.Name)
			}
		}
	})
}
