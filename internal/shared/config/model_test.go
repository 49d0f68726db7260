package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
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
		svc, allowed, ok := c.FindRule(x.host, x.path, x.method)
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
		b, err := os.ReadFile(filepath.Join("../../../sample", n))
		if err != nil {
			t.Fatal(err)
		}
		if _, fs, err := Parse(b, none); err != nil || len(fs) > 0 {
			t.Error(n, err, fs)
		}
	}
}

func TestTree(t *testing.T) {
	for doc, want := range map[string]string{
		`{"a":1,"a":2}`:                   "a is given twice",
		`{"a":{"b":[0,{"c":1,"c":1}]}}`:   "a.b[1].c is given twice",
		`{"a":[[],[{"x":1,"\u0078":1}]]}`: "a[1][0].x is given twice",
		`{"a":[1e999]}`:                   "a[0] is too large a number",
		`[]`:                              "must start with {",
		``:                                "must start with {",
		`{"a":1} {}`:                      "after top-level value",
		`{"a":01}`:                        "invalid character",
		`{"a":`:                           "unexpected end",
		`{"a":"\x01"}`:                    "invalid character",
	} {
		if _, _, err := Parse([]byte(doc), nil); err == nil || !errors.Is(err, ErrNotJSON) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", doc, err)
		}
	}
	for _, doc := range []string{`{}`, ` { "a" : [ ] , "b":[1, -2.5e3 ,"x\"\\\u00e9é\ud83d", true,false,null,{}],"":{"x":{}}}` + "\n"} {
		got, err := object([]byte(doc))
		var want map[string]any
		if e := json.Unmarshal([]byte(doc), &want); e != nil || err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %v, want %v (%v, %v)", doc, got, want, err, e)
		}
	}
	same := func(a, b string) bool {
		x, err := Canonical([]byte(a))
		y, err2 := Canonical([]byte(b))
		if err != nil || err2 != nil {
			t.Fatal(err, err2)
		}
		return string(x) == string(y)
	}
	if !same(`{"a":[1,"\u0041"],"b":{}}`, ` {"b" : { }, "a":[1, "A"]}`) {
		t.Error("the same, and not seen as such")
	}
	for _, o := range []string{`{"a":[1]}`, `{"a":["1"]}`, `{"a":[1.5]}`, `{"a":9007199254740993}`, `{"a":9007199254740992}`, `{"a":null}`, `{"a":[[1]]}`, `{"a":{"1":1}}`} {
		if same(`{"a":[1,2]}`, o) {
			t.Error(o)
		}
	}
	if same(`{"a":9007199254740993}`, `{"a":9007199254740992}`) {
		t.Error("numbers are taken as they are written")
	}
}

func TestNamedPlaces(t *testing.T) {
	for patch, at := range map[string]string{
		`{"set":[]}`: "set", `{"set":{"routes":[]}}`: "set.routes", `{"set":{"routes":null}}`: "set.routes", `{"drop":{"routes":{}}}`: "drop.routes",
		`{"drop":{"routes":[1]}}`: "drop.routes", `{"set":{},"more":1}`: "more", `{"set":{},"revision":-1}`: "revision", `{"set":{},"revision":0}`: "revision",
	} {
		if _, fs, err := ParseNamedChange([]byte(patch)); err != nil || len(fs) != 1 || fs[0].Path != at {
			t.Errorf("%s: %v %v", patch, fs, err)
		}
	}
	if _, _, err := ParseNamedChange([]byte(`{"set":{"routes":{"a":{},"a":{}}}}`)); !errors.Is(err, ErrNotJSON) {
		t.Error(err)
	}
	n, _, _ := ParseNamedChange([]byte(`{"set":{"routes":{"b":{"x":1}}},"drop":{"routes":["a","none"]}}`))
	if out, fs, err := n.Apply([]byte(`{"revision":4,"routes":{"a":1,"c":2}}`)); err != nil || len(fs) > 0 || string(out) != `{"routes":{"b":{"x":1},"c":2}}` {
		t.Errorf("%s %v %v", out, fs, err)
	}
}

func TestRouteFaults(t *testing.T) {
	doc := `{"services":{"s":{"cap":1,"warm_cap":1}},"limits":{"idle_ms":"x","odd":1},"routes":{
		"a":{"host":"h","prefix":"/a/","kind":"once","timeout_ms":1.5,"attempts":"2","service":"s","odd":1},
		"b":{"host":"h","prefix":"/b/","kind":"once","timeout_ms":0,"attempts":0,"split":[{"service":"s","weight":-1},{"service":"q","weight":"1"}]},
		"c":[], "d":{"host":"h","prefix":"/d/","kind":"once","timeout_ms":600001,"attempts":1,"split":[{"service":"x","weight":0}]}}}`
	_, fs, err := Parse([]byte(doc), nil)
	var got []string
	for _, f := range fs {
		got = append(got, f.Path)
	}
	want := "limits.idle_ms limits.odd routes.a.attempts routes.a.odd routes.a.timeout_ms routes.b.split[1].weight routes.c" +
		" routes.d.timeout_ms routes.d.split[0].service routes.d.split"
	if err != nil || strings.Join(got, " ") != want {
		t.Errorf("%v\n%s\n%s", err, strings.Join(got, " "), want)
	}
}
