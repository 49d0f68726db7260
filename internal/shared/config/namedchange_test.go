package config

import (
	"testing"

	"github.com/cockroachdb/errors"
)

func TestNamedChangeFaults(t *testing.T) {
	for patch, at := range map[string]string{
		`{"set":[]}`: "set", `{"set":{"routes":[]}}`: "set.routes", `{"set":{"routes":null}}`: "set.routes", `{"drop":{"routes":{}}}`: "drop.routes",
		`{"drop":{"routes":[1]}}`: "drop.routes", `{"set":{},"more":1}`: "more", `{"set":{},"revision":-1}`: "revision", `{"set":{},"revision":0}`: "revision",
	} {
		if _, fs, err := ParseNamedChange([]byte(patch)); err != nil || len(fs) != 1 || fs[0].Path != at {
			t.Errorf("%s: faults %v, error %v, want one fault at %s", patch, fs, err, at)
		}
	}
	if _, _, err := ParseNamedChange([]byte(`{"set":{"routes":{"a":{},"a":{}}}}`)); !errors.Is(err, ErrNotJSON) {
		t.Errorf("duplicate name: error %v, want ErrNotJSON", err)
	}
	n, _, _ := ParseNamedChange([]byte(`{"set":{"routes":{"b":{"x":1}}},"drop":{"routes":["a","none"]}}`))
	if out, fs, err := n.Apply([]byte(`{"revision":4,"routes":{"a":1,"c":2}}`)); err != nil || len(fs) > 0 || string(out) != `{"routes":{"b":{"x":1},"c":2}}` {
		t.Errorf("Apply gave %s, faults %v, error %v, want b added, a removed and no revision", out, fs, err)
	}
}

// For input that is not exactly one JSON object, Parse and ParseNamedChange return an error marked ErrNotJSON, not
// faults.
func TestNamedChangeThatIsNotOneObject(t *testing.T) {
	for _, doc := range []string{``, `null`, `[]`, `{`, `{}{}`} {
		if _, _, err := Parse([]byte(doc), acceptPolicy); !errors.Is(err, ErrNotJSON) {
			t.Errorf("%q: error %v, want ErrNotJSON", doc, err)
		}
		if _, _, err := ParseNamedChange([]byte(doc)); !errors.Is(err, ErrNotJSON) {
			t.Errorf("%q as a named change: error %v, want ErrNotJSON", doc, err)
		}
	}
}
