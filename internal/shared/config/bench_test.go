package config

import (
	"encoding/json"
	"fmt"
	"testing"
)

// documentWithRoutes returns a document with n routes to 40 services.
func documentWithRoutes(n int) []byte {
	svcs, routes := map[string]any{}, map[string]any{}
	for i := range 40 {
		svcs[fmt.Sprintf("s%d", i)] = map[string]any{"cap": 40, "warm_cap": 4, "health_path": "/health", "conn_cap": 96, "cold_s": 3, "cold_per_s": 19.5}
	}
	for i := range n {
		routes[fmt.Sprintf("r-%d", i)] = map[string]any{"host": fmt.Sprintf("h%d.example", i%90), "prefix": fmt.Sprintf("/a%d/b/", i), "kind": "repeatable",
			"timeout_ms": 2000, "aim_ms": 300, "priority": 2, "attempts": 2,
			"split": []any{map[string]any{"service": fmt.Sprintf("s%d", i%40), "weight": 90}, map[string]any{"service": "s1", "weight": 10.5}}}
	}
	b, err := json.Marshal(map[string]any{"revision": 7, "services": svcs, "routes": routes})
	if err != nil {
		panic(err)
	}
	return b
}

func BenchmarkParse(b *testing.B) {
	doc := documentWithRoutes(1400)
	b.SetBytes(int64(len(doc)))
	for b.Loop() {
		if _, fs, err := Parse(doc, func(Policy) []Fault { return nil }); err != nil || len(fs) > 0 {
			b.Fatal(err, fs)
		}
	}
}

func BenchmarkCanonical(b *testing.B) {
	doc := documentWithRoutes(1400)
	b.SetBytes(int64(len(doc)))
	for b.Loop() {
		if _, err := Canonical(doc); err != nil {
			b.Fatal(err)
		}
	}
}
