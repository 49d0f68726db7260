package config

import (
	"strings"
	"testing"
)

func TestFindRule(t *testing.T) {
	c, fs, err := Parse([]byte(`{"services":{"a":{},"b":{},"c":{}},"rules":[
		{"path":"/","service":"a"},{"path":"/x","service":"b","methods":["GET"]},{"path":"/x","service":"c","methods":["POST"]},
		{"path":"/x/y/","service":"c"},{"host":"h.example","path":"/x","service":"a"}]}`), acceptPolicy)
	if err != nil || len(fs) > 0 {
		t.Fatalf("Parse of valid rules: error %v, faults %v", err, fs)
	}
	for _, x := range []struct{ host, path, method, svc string }{
		{"", "/", "GET", "a"}, {"", "/xy", "GET", "a"}, {"", "/x", "GET", "b"}, {"", "/x/z", "POST", "c"}, {"", "/x", "DELETE", ""},
		{"", "/x/y", "GET", "b"}, {"", "/x/y/z", "DELETE", "c"}, {"h.example", "/x", "PUT", "a"}, {"H.example:80", "/x/y/z", "GET", "a"},
	} {
		svc, allowed, ok := c.FindRule(x.host, x.path, x.method)
		if svc != x.svc || ok != (x.svc != "") {
			t.Errorf("%+v: service %q, allowed methods %v, found %v, want service %q", x, svc, allowed, ok, x.svc)
		}
		if x.method == "DELETE" && x.svc == "" && strings.Join(allowed, ",") != "GET,POST" {
			t.Errorf("%+v: allowed %v, want GET and POST", x, allowed)
		}
	}
}
