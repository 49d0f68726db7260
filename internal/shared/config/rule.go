package config

import (
	"fmt"
	"slices"
	"strings"
)

// Rule sends requests by host, path and method to one service. Requests that a route matches do not
// come to the rules.
type Rule struct {
	// Host is the host, in lower case and without port. Default: "", any.
	Host string `koanf:"host" json:"host,omitempty"`
	// Path is the path; all paths below it match too.
	Path string `koanf:"path" json:"path"`
	// Methods are the HTTP methods. Default: none, any method.
	Methods []string `koanf:"methods" json:"methods,omitempty"`
	// Service is the name of the service.
	Service string `koanf:"service" json:"service"`
}

// ruleMethods are the methods that a rule may name.
var ruleMethods = []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}

// hostRank ranks a rule with a host before any rule without one, whatever their paths: no path is longer.
const hostRank = 1 << 20

// FindRule returns the service that the rules choose for a request: those with its host go before those for
// any host, then the longest path, whose end must be at a segment's end. If only the method does not match,
// ok is false and allowed lists the methods of the best path, for the response's Allow header.
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

// isAtOrBelow reports whether path is a rule's path or lies below it.
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

// rulePath returns the path of a rule in the document.
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

// checkRules checks each rule, and that no two match the same requests. Services must have been read.
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
		c.add(path+".service", "no service %q", rule.Service)
	}
	for i, method := range rule.Methods {
		if !slices.Contains(ruleMethods, method) {
			c.add(fmt.Sprintf("%s.methods[%d]", path, i), "unknown method %q", method)
		}
	}
}

// overlaps reports whether the rules have host, path and at least one method in common.
func (r Rule) overlaps(other Rule) bool {
	if r.Host != other.Host || r.Path != other.Path {
		return false
	}
	if len(r.Methods) == 0 || len(other.Methods) == 0 {
		return true
	}
	return slices.ContainsFunc(r.Methods, func(m string) bool { return slices.Contains(other.Methods, m) })
}
