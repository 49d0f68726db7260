// This file finds the rule for a request.

package config

import (
	"slices"
	"strings"
)

// hostRank puts a rule with a host before one for any host, whatever their paths: no path is longer.
const hostRank = 1 << 20

// FindRule finds the service that the rules choose for a request: an exact host before any host, then
// the longest path, whose end must fall on a segment. allowed lists the methods of that path, for
// the answer if ok is false because only the method is wrong.
func (c *Config) FindRule(host, path, method string) (svc string, allowed []string, ok bool) {
	host = bare(host)
	best := -1
	for _, r := range c.Rules {
		if r.Host != "" && r.Host != host || !under(r.Path, path) {
			continue
		}
		rank := len(r.Path)
		if r.Host != "" {
			rank += hostRank
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

// under reports whether path is rule or lies below it.
func under(rule, path string) bool {
	if !strings.HasPrefix(path, rule) {
		return false
	}
	return len(path) == len(rule) || strings.HasSuffix(rule, "/") || path[len(rule)] == '/'
}
