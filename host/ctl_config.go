// This file is the operators' commands for configurations.

package host

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/url"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"myrtlefold/model"
	"myrtlefold/policy"
)

func read(name string) ([]byte, error) {
	if name == "-" || name == "" { // the command line library reads a lone dash as nothing
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

func (c *ctl) file(name, method, path string, q url.Values) int {
	b, err := read(name)
	if err != nil {
		fmt.Fprintf(os.Stderr, "mfctl: %v\n", err)
		return exitUsage
	}
	return c.change(method, path, q, b)
}

// put sends a whole configuration, with the operator's own number if one is given.
func (c *ctl) put(name string, own uint64, q url.Values) int {
	b, err := read(name)
	if err != nil {
		fmt.Fprintf(os.Stderr, "mfctl: %v\n", err)
		return exitUsage
	}
	if own > 0 {
		if b, err = model.Unnumbered(b); err == nil {
			b, err = model.Numbered(b, own)
		}
		if err != nil {
			fmt.Fprintf(os.Stderr, "mfctl: %s: %v\n", name, err)
			return exitInvalid
		}
	}
	return c.change("PUT", "/v1/config", q, b)
}

// set and named send a partial change by names.
func (c *ctl) set(kind, name, file string, own uint64, q url.Values) int {
	b, err := read(file)
	if err != nil {
		fmt.Fprintf(os.Stderr, "mfctl: %v\n", err)
		return exitUsage
	}
	if !json.Valid(b) {
		fmt.Fprintf(os.Stderr, "mfctl: %s: not JSON\n", cmp.Or(file, "standard input"))
		return exitInvalid
	}
	return c.named(map[string]any{"set": map[string]any{kind: map[string]any{name: json.RawMessage(b)}}}, own, q)
}

func (c *ctl) named(change map[string]any, own uint64, q url.Values) int {
	if own > 0 {
		change["revision"] = own
	}
	b, err := json.Marshal(change)
	if err != nil {
		fmt.Fprintf(os.Stderr, "mfctl: %v\n", err)
		return exitUsage
	}
	return c.change("PATCH", "/v1/config", q, b)
}

// check reads a configuration and then what each change makes of it.
func (c *ctl) check(name string, changes []string) int {
	var doc []byte
	for i, f := range append([]string{name}, changes...) {
		b, err := read(f)
		if err != nil {
			fmt.Fprintf(os.Stderr, "mfctl: %v\n", err)
			return exitUsage
		}
		var faults []model.Fault
		if i == 0 {
			doc = b
		} else {
			doc, faults, err = changed(doc, b)
		}
		if err == nil && len(faults) == 0 {
			_, faults, err = policy.CheckConfig(doc)
		}
		if c.json && err == nil {
			json.NewEncoder(os.Stdout).Encode(map[string]any{"file": f, "sound": len(faults) == 0, "faults": faults})
		}
		if err != nil {
			fmt.Fprintf(os.Stderr, "mfctl: %s: %v\n", f, err)
			return exitInvalid
		}
		for _, x := range faults {
			if !c.json {
				fmt.Fprintf(os.Stderr, "  %s: %s\n", x.Path, x.Text)
			}
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

// changed is what a partial change of either form makes of a document.
func changed(doc, change []byte) ([]byte, []model.Fault, error) {
	if !model.IsNamed(change) {
		out, err := model.Merge(doc, change)
		return out, nil, err
	}
	n, faults, err := model.ParseNamed(change)
	if err != nil || len(faults) > 0 {
		return nil, faults, err
	}
	return n.Apply(doc)
}

// routes shows a configuration's routes; show says whether there was what it looked for.
func (c *ctl) routes(file string, show func(*model.Config) bool) int {
	var b []byte
	var err error
	if file != "" {
		b, err = read(file)
	} else {
		var status int
		if status, b, err = c.call("GET", "/v1/config", url.Values{"plain": {""}}, nil); err != nil || status != 200 {
			return c.end(status, b, err, nil)
		}
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "mfctl: %v\n", err)
		return exitUsage
	}
	cfg, faults, err := policy.CheckConfig(b)
	if err != nil {
		fmt.Fprintf(os.Stderr, "mfctl: %v\n", err)
		return exitInvalid
	}
	for _, f := range faults {
		fmt.Fprintf(os.Stderr, "  %s: %s\n", f.Path, f.Text)
	}
	switch {
	case len(faults) > 0:
		return exitInvalid
	case !show(cfg):
		return exitFailed
	}
	return exitOK
}

// split says where a route's requests go, and in which parts.
func split(r model.Route) string {
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

func (c *ctl) listRoutes(cfg *model.Config) bool {
	if c.json {
		json.NewEncoder(os.Stdout).Encode(map[string]any{"routes": cfg.Routes, "rules": cfg.Rules})
		return true
	}
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "ROUTE\tHOST\tPREFIX\tKIND\tTIMEOUT MS\tAIM MS\tPRIORITY\tATTEMPTS\tGOES TO")
	names := slices.SortedFunc(maps.Keys(cfg.Routes), func(a, b string) int {
		x, y := cfg.Routes[a], cfg.Routes[b]
		return cmp.Or(cmp.Compare(x.Host, y.Host), cmp.Compare(x.Prefix, y.Prefix))
	})
	for _, n := range names {
		r := cfg.Routes[n]
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", n, cmp.Or(r.Host, "*"), r.Prefix, r.Kind, r.TimeoutMs, r.AimMs, r.Priority, r.Attempts, split(r))
	}
	for i, r := range cfg.Rules {
		fmt.Fprintf(tw, "rules[%d]\t%s\t%s\t%s\t%d\t\t\t%d\t%s\n", i, cmp.Or(r.Host, "*"), r.Path, cmp.Or(strings.Join(r.Methods, ","), "-"),
			cfg.Services[r.Service].TimeoutMs, cfg.Services[r.Service].Tries, r.Service)
	}
	tw.Flush()
	return true
}

func (c *ctl) match(cfg *model.Config, host, path, method string) bool {
	n, r, isRoute := cfg.Route(host, path)
	svc, allowed, isRule := cfg.Match(host, path, method)
	switch {
	case c.json && isRoute:
		json.NewEncoder(os.Stdout).Encode(map[string]any{"route": n, "is": r})
	case c.json:
		json.NewEncoder(os.Stdout).Encode(map[string]any{"service": svc, "allowed": allowed})
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
