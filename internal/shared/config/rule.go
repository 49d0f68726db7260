package config

import (
	"fmt"
	"slices"
	"strings"
)

// Rule assigns requests to a service by host, path and method. Rules apply only to requests that no route matches.
type Rule struct {
	// Host is the host, in lower case and without port. Default: "", any host.
	Host string `koanf:"host" json:"host,omitempty"`
	// Path is the path. It also matches all paths below it.
	Path string `koanf:"path" json:"path"`
	// Methods are the HTTP methods that match. Default: none, any method.
	Methods []string `koanf:"methods" json:"methods,omitempty"`
	// Service is the name of the service.
	Service string `koanf:"service" json:"service"`
}

// ruleMethods are the HTTP methods that are valid in Rule.Methods.
var ruleMethods = []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}

// hostRank is added to the rank of a rule with a host. It is longer than any path, so that such a rule takes precedence
// over all rules without a host.
const hostRank = 1 << 20

// FindRule returns the service for a request. Rules for its host take precedence over rules for any host, then the rule
// with the longest path that is equal to the request's path or a parent of it. If only the method does not match, ok is
// false and allowed lists the methods of the best rules, for the Allow header of the response.
func (c *Config) FindRule(host, path, method string) (service string, allowed []string, ok bool) {
	host = normalizeHost(host)
	bestRank := -1
	for _, r := range c.Rules {
		if r.Host != "" && r.Host != host || !isAtOrBelow(r.Path, path) {
			continue
		}
		rank := len(r.Path)
		if r.Host != "" {
			rank += hostRank
		}
		if rank < bestRank {
			continue
		}
		if rank > bestRank {
			bestRank, service, allowed, ok = rank, "", nil, false
		}
		if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
			service, ok = r.Service, true
		}
		allowed = append(allowed, r.Methods...)
	}
	return service, allowed, ok
}

// isAtOrBelow reports whether path is equal to a rule's path or below it.
func isAtOrBelow(rulePath, path string) bool {
	if !strings.HasPrefix(path, rulePath) {
		return false
	}
	return len(path) == len(rulePath) || strings.HasSuffix(rulePath, "/") || path[len(rulePath)] == '/'
}

// normalizeHost returns a host in lower case and without its port.
func normalizeHost(host string) string {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return host
}

// rulePath returns the path of the i-th rule in the document, for faults.
func rulePath(i int) string { return fmt.Sprintf("rules[%d]", i) }

func (c *checker) readRules(cfg *Config, v any) {
	list, ok := v.([]any)
	if !ok {
		c.add("rules", "must be a list")
	}
	for i, item := range list {
		var r Rule
		c.decode(rulePath(i), item, &r)
		cfg.Rules = append(cfg.Rules, r)
	}
}

// checkRules checks each rule, and that no two rules have host, path and a method in common. Services must have been
// decoded before.
func (c *checker) checkRules(cfg *Config) {
	for i, r := range cfg.Rules {
		c.checkRule(rulePath(i), r, cfg)
	}
	for i, r := range cfg.Rules {
		for j, earlier := range cfg.Rules[:i] {
			if r.overlaps(earlier) {
				c.add(rulePath(i), "same host, path and method as %s", rulePath(j))
			}
		}
	}
}

func (c *checker) checkRule(path string, rule Rule, cfg *Config) {
	if !strings.HasPrefix(rule.Path, "/") {
		c.add(path+".path", "must start with /")
	}
	if !isPlainPath(rule.Path) {
		c.add(path+".path", notPlainPath)
	}
	if !isHost(rule.Host) {
		c.add(path+".host", notHost)
	}
	if _, ok := cfg.Services[rule.Service]; !ok {
		c.add(path+".service", "service %q does not exist", rule.Service)
	}
	for i, method := range rule.Methods {
		if !slices.Contains(ruleMethods, method) {
			c.add(fmt.Sprintf("%s.methods[%d]", path, i), "unknown method %q", method)
		}
	}
}

// overlaps reports whether two rules have the same host and path and at least one method in common.
func (r Rule) overlaps(other Rule) bool {
	if r.Host != other.Host || r.Path != other.Path {
		return false
	}
	if len(r.Methods) == 0 || len(other.Methods) == 0 {
		return true
	}
	return slices.ContainsFunc(r.Methods, func(m string) bool { return slices.Contains(other.Methods, m) })
}
