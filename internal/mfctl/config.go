// This file is the operators' commands for configurations.

package mfctl

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/outlier"
)

// read reads a file, or standard input.
func read(name string) ([]byte, error) {
	if name == "-" || name == "" { // the command line library reads a lone dash as nothing
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// file makes a change whose body is a file.
func (c *ctl) file(name, method, path string, q url.Values) int {
	b, err := read(name)
	if err != nil {
		return failed(err, exitUsage)
	}
	return c.change(method, path, q, b)
}

// put sends a whole configuration, with the operator's own number if one is given.
func (c *ctl) put(name string, own uint64, q url.Values) int {
	b, err := read(name)
	if err != nil {
		return failed(err, exitUsage)
	}
	if own > 0 {
		if b, err = config.WithoutRevision(b); err == nil {
			b, err = config.WithRevision(b, own)
		}
		if err != nil {
			fmt.Fprintf(os.Stderr, "mfctl: %s: %v\n", name, err)
			return exitInvalid
		}
	}
	return c.change(http.MethodPut, "/v1/config", q, b)
}

// set sends the partial change that adds or replaces one item.
func (c *ctl) set(kind, name, file string, own uint64, q url.Values) int {
	b, err := read(file)
	if err != nil {
		return failed(err, exitUsage)
	}
	if !json.Valid(b) {
		fmt.Fprintf(os.Stderr, "mfctl: %s: not JSON\n", cmp.Or(file, "standard input"))
		return exitInvalid
	}
	change := setOne(kind, name, b)
	change.Revision = own
	return c.named(change, q)
}

// named sends a partial change by names.
func (c *ctl) named(change config.NamedChange, q url.Values) int {
	b, err := json.Marshal(change)
	if err != nil {
		return failed(err, exitUsage)
	}
	return c.change(http.MethodPatch, "/v1/config", q, b)
}

// checked is the result of checking one file, printed as JSON.
type checked struct {
	Faults []config.Fault `json:"faults"`
	File   string         `json:"file"`
	Sound  bool           `json:"sound"`
}

// check checks a configuration and then what each change makes of it.
func (c *ctl) check(name string, changes []string) int {
	var doc []byte
	for i, f := range append([]string{name}, changes...) {
		b, err := read(f)
		if err != nil {
			return failed(err, exitUsage)
		}
		var faults []config.Fault
		if i == 0 {
			doc = b
		} else {
			doc, faults, err = changed(doc, b)
		}
		if err == nil && len(faults) == 0 {
			_, faults, err = outlier.ParseConfig(doc)
		}
		if err != nil {
			return failed(errors.Wrap(err, f), exitInvalid)
		}
		if c.json {
			printJSON(checked{File: f, Sound: len(faults) == 0, Faults: faults})
		} else {
			printFaults(faults)
		}
		if len(faults) > 0 {
			return exitInvalid
		}
	}
	if !c.json {
		fmt.Println("the configuration is sound")
	}
	return exitOK
}

// failed prints an error and returns the exit code.
func failed(err error, code int) int {
	fmt.Fprintf(os.Stderr, "mfctl: %v\n", err)
	return code
}

// printFaults prints the faults of a document for people.
func printFaults(faults []config.Fault) {
	for _, f := range faults {
		fmt.Fprintf(os.Stderr, "  %s: %s\n", f.Path, f.Text)
	}
}

// printJSON prints a value as a line of JSON.
func printJSON(v any) { json.NewEncoder(os.Stdout).Encode(v) }

// changed returns what a partial change of either form makes of a document.
func changed(doc, change []byte) ([]byte, []config.Fault, error) {
	if !config.IsNamedChange(change) {
		out, err := config.MergePatch(doc, change)
		return out, nil, err
	}
	n, faults, err := config.ParseNamedChange(change)
	if err != nil || len(faults) > 0 {
		return nil, faults, err
	}
	return n.Apply(doc)
}

// routes passes a configuration to show, which reports whether there was what it looked for.
func (c *ctl) routes(show func(*config.Config) bool) int {
	var b []byte
	var err error
	if c.routesFile != "" {
		b, err = read(c.routesFile)
	} else {
		var status int
		if status, b, err = c.call(http.MethodGet, "/v1/config", url.Values{"plain": {""}}, nil); err != nil || status != http.StatusOK {
			return c.end(status, b, err, nil)
		}
	}
	if err != nil {
		return failed(err, exitUsage)
	}
	cfg, faults, err := outlier.ParseConfig(b)
	if err != nil {
		return failed(err, exitInvalid)
	}
	printFaults(faults)
	switch {
	case len(faults) > 0:
		return exitInvalid
	case !show(cfg):
		return exitFailed
	}
	return exitOK
}

// split tells people where a route's requests go, and in which parts.
func split(r config.Route) string {
	sum := 0.0
	for _, s := range r.Shares() {
		sum += s.Weight
	}
	var l []string
	for _, s := range r.Shares() {
		if len(r.Shares()) == 1 {
			return s.Service
		}
		l = append(l, fmt.Sprintf("%s %.1f %%", s.Service, 100*s.Weight/sum))
	}
	return strings.Join(l, ", ")
}

// routeList is the routes and rules of a configuration, printed as JSON.
type routeList struct {
	Routes map[string]config.Route `json:"routes"`
	Rules  []config.Rule           `json:"rules"`
}

// listRoutes prints all routes, sorted by host and prefix, and then the rules.
func (c *ctl) listRoutes(cfg *config.Config) bool {
	if c.json {
		printJSON(routeList{Routes: cfg.Routes, Rules: cfg.Rules})
		return true
	}
	tw := newTable()
	fmt.Fprintln(tw, "ROUTE\tHOST\tPREFIX\tKIND\tTIMEOUT MS\tAIM MS\tPRIORITY\tATTEMPTS\tGOES TO")
	names := slices.SortedFunc(maps.Keys(cfg.Routes), func(a, b string) int {
		x, y := cfg.Routes[a], cfg.Routes[b]
		return cmp.Or(cmp.Compare(x.Host, y.Host), cmp.Compare(x.Prefix, y.Prefix))
	})
	for _, n := range names {
		r := cfg.Routes[n]
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", n, cmp.Or(r.Host, "*"), r.Prefix, r.Kind, r.TimeoutMs, r.LatencyTargetMs, r.Priority, r.Attempts, split(r))
	}
	for i, r := range cfg.Rules {
		fmt.Fprintf(tw, "rules[%d]\t%s\t%s\t%s\t%d\t\t\t%d\t%s\n", i, cmp.Or(r.Host, "*"), r.Path, cmp.Or(strings.Join(r.Methods, ","), "-"),
			cfg.Services[r.Service].TimeoutMs, cfg.Services[r.Service].Attempts, r.Service)
	}
	tw.Flush()
	return true
}

// routeMatch and ruleMatch are what a request goes by, printed as JSON.
type (
	routeMatch struct {
		Is    config.Route `json:"is"`
		Route string       `json:"route"`
	}
	ruleMatch struct {
		Allowed []string `json:"allowed"` // the methods that the rule takes
		Service string   `json:"service"`
	}
)

// match prints the route or rule that a request goes by, and reports whether there is one.
func (c *ctl) match(cfg *config.Config, host, path, method string) bool {
	n, r, isRoute := cfg.FindRoute(host, path)
	svc, allowed, isRule := cfg.FindRule(host, path, method)
	switch {
	case c.json && isRoute:
		printJSON(routeMatch{Route: n, Is: r})
	case c.json:
		printJSON(ruleMatch{Service: svc, Allowed: allowed})
	case isRoute:
		fmt.Printf("route %s: %s%s, %s, %d ms, %d attempts, priority %d, goes to %s\n", n, cmp.Or(r.Host, "*"), r.Prefix, r.Kind, r.TimeoutMs, r.Attempts, r.Priority, split(r))
	case isRule:
		fmt.Printf("a rule: goes to %s\n", svc)
	case len(allowed) > 0:
		fmt.Printf("a rule takes that path, but not by %s: only by %s\n", method, strings.Join(allowed, ", "))
	default:
		fmt.Println("nothing takes it: callers get 404")
	}
	return isRoute || isRule
}
