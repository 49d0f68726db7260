// The commands on routes and rules.

package mfctl

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/outlier"
)

// withConfig calls show with the configuration of the file given by --config or, without the flag, with the one in
// force. If show returns false, nothing matched, and the exit code is exitFailed.
func (c *cli) withConfig(show func(*config.Config) bool) int {
	var text []byte
	if c.routesFile != "" {
		var err error
		if text, err = readFile(c.routesFile); err != nil {
			return fail(err, exitUsage)
		}
	} else {
		got, err := c.call(request{method: http.MethodGet, path: "/v1/config", query: url.Values{"plain": {""}}})
		if err != nil || got.status != http.StatusOK {
			return c.printResult(got, err, nil)
		}
		text = got.body
	}
	parsed, faults, err := outlier.ParseConfig(text)
	if err != nil {
		return fail(err, exitInvalid)
	}
	printFaults(faults)
	switch {
	case len(faults) > 0:
		return exitInvalid
	case !show(parsed):
		return exitFailed
	}
	return exitOK
}

// destinationText returns the service that a route forwards to, or the services with their shares.
func destinationText(route config.Route) string {
	shares := route.Shares()
	sum := 0.0
	for _, share := range shares {
		sum += share.Weight
	}
	var texts []string
	for _, share := range shares {
		if len(shares) == 1 {
			return share.Service
		}
		texts = append(texts, fmt.Sprintf("%s %.1f %%", share.Service, 100*share.Weight/sum))
	}
	return strings.Join(texts, ", ")
}

// hostText returns the host of a route or rule, "*" if it matches any host.
func hostText(host string) string { return cmp.Or(host, "*") }

// routeList holds the routes and rules of a configuration for JSON output.
type routeList struct {
	Routes map[string]config.Route `json:"routes"`
	Rules  []config.Rule           `json:"rules"`
}

// listRoutes prints all routes, sorted by host and prefix, and then the rules.
func (c *cli) listRoutes(cfg *config.Config) bool {
	if c.json {
		printJSON(routeList{Routes: cfg.Routes, Rules: cfg.Rules})
		return true
	}
	table := newTable()
	defer table.Flush()
	fmt.Fprintln(table, "ROUTE\tHOST\tPREFIX\tKIND\tTIMEOUT MS\tLATENCY TARGET MS\tPRIORITY\tATTEMPTS\tDESTINATION")
	names := slices.SortedFunc(maps.Keys(cfg.Routes), func(first, second string) int {
		a, b := cfg.Routes[first], cfg.Routes[second]
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Prefix, b.Prefix))
	})
	for _, name := range names {
		route := cfg.Routes[name]
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", name, hostText(route.Host), route.Prefix, route.Kind,
			route.TimeoutMs, route.LatencyTargetMs, route.Priority, route.Attempts, destinationText(route))
	}
	for i, rule := range cfg.Rules {
		service := cfg.Services[rule.Service]
		methods := cmp.Or(strings.Join(rule.Methods, ","), "-")
		fmt.Fprintf(table, "rules[%d]\t%s\t%s\t%s\t%d\t\t\t%d\t%s\n", i, hostText(rule.Host), rule.Path, methods,
			service.TimeoutMs, service.Attempts, rule.Service)
	}
	return true
}

// routeMatch is the route that matches a request, for JSON output.
type routeMatch struct {
	Route config.Route `json:"is"`
	Name  string       `json:"route"`
}

// ruleMatch is the rule that matches a request, for JSON output.
type ruleMatch struct {
	Allowed []string `json:"allowed"` // methods that the rules for the path allow
	Service string   `json:"service"`
}

// matchRoute prints the route or rule that matches a request and reports whether there is one.
func (c *cli) matchRoute(cfg *config.Config, host, path, method string) bool {
	name, route, isRoute := cfg.FindRoute(host, path)
	service, allowed, isRule := cfg.FindRule(host, path, method)
	switch {
	case c.json && isRoute:
		printJSON(routeMatch{Name: name, Route: route})
	case c.json:
		printJSON(ruleMatch{Service: service, Allowed: allowed})
	case isRoute:
		fmt.Printf("route %s: %s%s, %s, timeout %d ms, %d attempts, priority %d, destination %s\n", name, hostText(route.Host), route.Prefix,
			route.Kind, route.TimeoutMs, route.Attempts, route.Priority, destinationText(route))
	case isRule:
		fmt.Printf("rule: destination %s\n", service)
	case len(allowed) > 0:
		fmt.Printf("a rule matches the path but not the method %s; allowed: %s\n", method, strings.Join(allowed, ", "))
	default:
		fmt.Println("no route or rule matches: callers get 404")
	}
	return isRoute || isRule
}
