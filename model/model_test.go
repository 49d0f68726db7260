package model

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

func none(Policy) []Fault { return nil }

// Every fault is listed by its path, unknown fields included.
func TestFaults(t *testing.T) {
	_, fs, err := Parse([]byte(`{
		"services": {"a": {"cap": 3.5}, "B!": {}, "c": {"tries": "x", "warm_cap": 90, "odd": 1}, "d": null, "e": {"wait_ms": 5}},
		"rules": [{"path": "x", "service": "zz"}, {"path": "/a/", "service": "a", "methods": ["FETCH"], "junk": true},
			{"path": "/b", "service": "a", "methods": ["GET", "PUT"]}, {"path": "/b", "service": "c", "methods": ["PUT"]}, {"path": "/../b", "service": "a"}],
		"bounds": {}, "aims": {"x": {"service": "zz", "part": 2, "odd": 1}}, "policies": {"p": {"slice": 3}}}`), none)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, f := range fs {
		got = append(got, f.Path)
	}
	slices.Sort(got)
	want := []string{"aims.x.odd", "aims.x.part", "aims.x.service", "bounds", "policies.p.slice", "rules[0].path", "rules[0].service", "rules[1].junk", "rules[1].methods[0]", "rules[3]",
		"rules[4].path", "services.B!", "services.a.cap", "services.c.odd", "services.c.tries", "services.c.warm_cap", "services.d", "services.e.wait_ms"}
	if !slices.Equal(got, want) {
		t.Fatalf("got  %v\nwant %v", got, want)
	}
}

func TestUnreadable(t *testing.T) {
	for _, doc := range []string{``, `[]`, `{"services":`, `{} {}`, `{"a":1,"a":2}`, `{"services":{"x":{"cap":1,"cap":2}}}`, `null`, "{\"a\":\x00}"} {
		if _, _, err := Parse([]byte(doc), none); !errors.Is(err, ErrNotJSON) {
			t.Errorf("%q: %v", doc, err)
		}
	}
}

func TestMatch(t *testing.T) {
	c, fs, err := Parse([]byte(`{"services":{"a":{},"b":{},"c":{}},"rules":[
		{"path":"/","service":"a"},{"path":"/x","service":"b","methods":["GET"]},{"path":"/x","service":"c","methods":["POST"]},
		{"path":"/x/y/","service":"c"},{"host":"h.example","path":"/x","service":"a"}]}`), none)
	if err != nil || len(fs) > 0 {
		t.Fatal(err, fs)
	}
	for _, x := range []struct{ host, path, method, svc string }{
		{"", "/", "GET", "a"}, {"", "/xy", "GET", "a"}, {"", "/x", "GET", "b"}, {"", "/x/z", "POST", "c"}, {"", "/x", "DELETE", ""},
		{"", "/x/y", "GET", "b"}, {"", "/x/y/z", "DELETE", "c"}, {"h.example", "/x", "PUT", "a"}, {"H.example:80", "/x/y/z", "GET", "a"},
	} {
		svc, allowed, ok := c.Match(x.host, x.path, x.method)
		if svc != x.svc || ok != (x.svc != "") {
			t.Errorf("%+v: %q %v %v", x, svc, allowed, ok)
		}
		if x.method == "DELETE" && x.svc == "" && strings.Join(allowed, ",") != "GET,POST" {
			t.Errorf("allowed %v", allowed)
		}
	}
}

// What the repository ships is sound.
func TestSamples(t *testing.T) {
	for _, n := range []string{"kelani.json", "kiyihat.json"} {
		b, err := os.ReadFile(filepath.Join("../sample", n))
		if err != nil {
			t.Fatal(err)
		}
		if _, fs, err := Parse(b, none); err != nil || len(fs) > 0 {
			t.Error(n, err, fs)
		}
	}
}
