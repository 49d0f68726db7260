package config

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

func acceptPolicy(Policy) []Fault { return nil }

// Parse reports every fault of a document with its path, unknown fields included.
func TestEveryFaultIsListedByItsPath(t *testing.T) {
	_, fs, err := Parse([]byte(`{
		"services": {"a": {"cap": 3.5}, "B!": {}, "c": {"tries": "x", "warm_cap": 90, "odd": 1}, "d": null, "e": {"wait_ms": 5}},
		"rules": [{"path": "x", "service": "zz"}, {"path": "/a/", "service": "a", "methods": ["FETCH"], "junk": true},
			{"path": "/b", "service": "a", "methods": ["GET", "PUT"]}, {"path": "/b", "service": "c", "methods": ["PUT"]}, {"path": "/../b", "service": "a"}],
		"bounds": {}, "aims": {"x": {"service": "zz", "part": 2, "odd": 1}}, "policies": {"p": {"slice": 3}}}`), acceptPolicy)
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
		t.Fatalf("fault paths\ngot  %v\nwant %v", got, want)
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
		t.Errorf("error %v, fault paths\ngot  %s\nwant %s", err, strings.Join(got, " "), want)
	}
}

func TestDocumentThatIsNotOneObject(t *testing.T) {
	for _, doc := range []string{``, `[]`, `{"services":`, `{} {}`, `{"a":1,"a":2}`, `{"services":{"x":{"cap":1,"cap":2}}}`, `null`, "{\"a\":\x00}"} {
		if _, _, err := Parse([]byte(doc), acceptPolicy); !errors.Is(err, ErrNotJSON) {
			t.Errorf("%q: error %v, want ErrNotJSON", doc, err)
		}
	}
}

// The sample configurations in the repository are valid.
func TestShippedSamplesAreValid(t *testing.T) {
	for _, n := range []string{"kelani.json", "kiyihat.json"} {
		b, err := os.ReadFile(filepath.Join("../../../sample", n))
		if err != nil {
			t.Fatal(err)
		}
		if _, fs, err := Parse(b, acceptPolicy); err != nil || len(fs) > 0 {
			t.Errorf("%s is not valid: error %v, faults %v", n, err, fs)
		}
	}
}
