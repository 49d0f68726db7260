// This file finds the rule for a request.

package model

import (
	"slices"
	"strings"
)

// Match finds the rule for a request: an exact host before any host, then the
// longest path, whose end must fall on a segment. Allowed lists the methods
// of that path when only the method is wrong.
func (c *Config) Match(host, path, method string) (svc string, allowed []string, ok bool) {
	host = bare(host)
	best := -1
	for _, r := range c.Rules {
		if r.Host != "" && r.Host != host || !under(r.Path, path) {
			continue
		}
		rank := len(r.Path) * 2
		if r.Host != "" {
			rank += 1 << 20
		}
		if rank < best {
			continue
		}
		if rank > best {
			best, svc, allowed, ok = rank, "", nil, false
		}
		if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
			svc, ok = r.Service, true
		}
		allowed = append(allowed, r.Methods...)
	}
	return svc, allowed, ok
}

func under(rule, path string) bool {
	if !strings.HasPrefix(path, rule) {
		return false
	}
	return len(path) == len(rule) || strings.HasSuffix(rule, "/") || path[len(rule)] == '/'
}
