// This file is mfctl, the operators' command: it asks any core member, tries the
// next one where that is safe, names its changes itself so that asking again
// can't apply one twice, and says by its exit code how a call ended.
package host

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"myrtlefold/core"
	"myrtlefold/gate"
	"myrtlefold/judge"
	"myrtlefold/limit"
	"myrtlefold/model"
)

// Exit codes of mfctl.
const (
	exitOK = iota
	exitFailed
	exitUsage
	exitStale
	exitInvalid
	exitNoLeader
	exitUnknown
)

type ctl struct {
	at   []string
	json bool
	wait time.Duration
}

// RunCtl is mfctl.
func RunCtl(args []string) int {
	app := kingpin.New("mfctl", `Operators' command for a myrtlefold core.

Exit codes: 0 done; 1 refused or failed; 2 usage; 3 built on a stale revision;
4 invalid, nothing changed; 5 no leader or nobody answers, nothing changed;
6 unknown: ask with 'mfctl change ID'.`)
	app.Version(Version)
	app.HelpFlag.Short('h')
	c := &ctl{}
	app.Flag("at", "HTTP address of a core member (repeat); also MFCTL_AT, split by commas").StringsVar(&c.at)
	out := app.Flag("output", "text or json").Short('o').Default("text").Enum("text", "json")
	app.Flag("wait", "how long to go on while there is no leader").Default("8s").DurationVar(&c.wait)

	app.Command("status", "each member's own view")
	app.Command("roster", "all daemons: kind, domain, address, readiness")
	app.Command("targets", "back ends, with the reason for each bar or hold")
	app.Command("aims", "service-level aims: what part of each service's exchanges met them, over all proxies")
	cfg := app.Command("config", "the configuration and its revisions")
	getCfg := cfg.Command("get", "print the configuration in force")
	getPlain := getCfg.Flag("plain", "only the document, with its revision inside, as 'config put' takes it").Bool()
	put := cfg.Command("put", "replace the whole configuration")
	putFile := put.Arg("file", "JSON file, - for standard input").Required().String()
	putBase := put.Flag("base", "revision that it was built on").Required().Uint64()
	patch := cfg.Command("patch", "apply a merge patch (RFC 7396)")
	patchFile := patch.Arg("file", "JSON file, - for standard input").Required().String()
	patchBase := patch.Flag("base", "revision that it was built on").Required().Uint64()
	set := cfg.Command("set", "add or replace one named item: a service, route, policy or aim")
	setKind := set.Arg("kind", strings.Join(namedKinds, ", ")).Required().Enum(namedKinds...)
	setName := set.Arg("name", "the item's name").Required().String()
	setFile := set.Arg("file", "JSON file, - for standard input").Required().String()
	setBase := set.Flag("base", "revision that it was built on").Required().Uint64()
	drop := cfg.Command("drop", "remove named items")
	dropKind := drop.Arg("kind", strings.Join(namedKinds, ", ")).Required().Enum(namedKinds...)
	dropNames := drop.Arg("name", "names to remove; one that is not there is no fault").Required().Strings()
	dropBase := drop.Flag("base", "revision that it was built on").Required().Uint64()
	var own uint64
	for _, cmd := range []*kingpin.CmdClause{put, set, drop} {
		cmd.Flag("revision", "your own number for the result, above the present one (default: the document's, else the next)").Uint64Var(&own)
	}
	check := cfg.Command("check", "check a configuration here, without asking anyone: every fault by its place")
	checkFile := check.Arg("file", "JSON file, - for standard input").Required().String()
	checkChanges := check.Flag("change", "check what this partial change makes of it, too (repeat; each on the one before)").Strings()
	cfg.Command("history", "the changes that are kept")
	diff := cfg.Command("diff", "what changed from one revision to another, as a merge patch")
	diffFrom := diff.Arg("from", "revision").Required().Uint64()
	diffTo := diff.Arg("to", "revision").Required().Uint64()
	back := cfg.Command("rollback", "put an earlier revision's text in force as a new revision")
	backTo := back.Arg("to", "revision").Required().Uint64()
	backBase := back.Flag("base", "present revision").Required().Uint64()
	rts := app.Command("routes", "routes: which exchanges go where, and what holds for them")
	rtsFile := rts.Flag("config", "read this file instead of asking a member").String()
	rts.Command("list", "all routes (the default)").Default()
	match := rts.Command("match", "the route or rule that would take an exchange, and its services")
	matchHost := match.Arg("host", "host that the caller names").Required().String()
	matchPath := match.Arg("path", "path of the exchange").Required().String()
	matchMethod := match.Flag("method", "method, for rules").Default("GET").String()
	chg := app.Command("change", "what became of a change")
	chgID := chg.Arg("id", "the change's id").Required().String()
	dom := app.Command("domain", "domains (zones)")
	dom.Command("list", "domains and which are emptied")
	empty := dom.Command("empty", "keep new exchanges from a domain's targets")
	emptyName := empty.Arg("domain", "name").Required().String()
	restore := dom.Command("restore", "take an emptied domain back")
	restoreName := restore.Arg("domain", "name").Required().String()
	pol := app.Command("policy", "policies that judge targets")
	pol.Command("list", "policies in force, with their counts")
	polPut := pol.Command("put", "create or replace a policy")
	polName := polPut.Arg("name", "policy").Required().String()
	polFile := polPut.Arg("file", "JSON file, - for standard input").Required().String()
	polBase := polPut.Flag("base", "configuration revision that it was built on").Required().Uint64()
	polRm := pol.Command("remove", "remove a policy")
	polRmName := polRm.Arg("name", "policy").Required().String()
	polRmBase := polRm.Flag("base", "configuration revision").Required().Uint64()
	polCmp := pol.Command("compare", "run policies over recorded events and compare them")
	cmpEvents := polCmp.Flag("events", "recording (JSON lines), - for standard input").Required().String()
	cmpFiles := polCmp.Arg("file", "policy files; the default policy always takes part").Strings()
	polJudge := pol.Command("judge", "read target events on standard input, write decisions on standard output")
	judgeFile := polJudge.Flag("config", "configuration whose policies judge; without it the default policy").String()
	stream := app.Command("stream", "follow target events and decisions as JSON lines")
	streamFrom := stream.Flag("from", "resume after this term.seq").String()
	streamFor := stream.Flag("for", "stop after so long").Duration()
	mem := app.Command("core", "members of the core")
	add := mem.Command("add", "let a running core daemon become a member")
	addName := add.Arg("name", "daemon").Required().String()
	rm := mem.Command("remove", "take a member out")
	rmName := rm.Arg("name", "member").Required().String()
	refound := mem.Command("refound", "found the core again with the members that are there; the override for when no majority will return (see docs/operate.md)")
	refoundGone := refound.Flag("gone", "a member whose disk will never come back (repeat)").Strings()
	gt := app.Command("gate", "proxies")
	forget := gt.Command("forget", "drop a proxy that is gone for good from the roster")
	forgetName := forget.Arg("name", "proxy").Required().String()

	cmd, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "mfctl: %v, see --help\n", err)
		return exitUsage
	}
	c.json = *out == "json"
	if v := os.Getenv("MFCTL_AT"); len(c.at) == 0 && v != "" {
		c.at = strings.Split(v, ",")
	}
	offline := cmd == "config check" || cmd == "policy compare" || cmd == "policy judge" || strings.HasPrefix(cmd, "routes ") && *rtsFile != ""
	if len(c.at) == 0 && !offline {
		fmt.Fprintln(os.Stderr, "mfctl: no member is named: --at IP:port or MFCTL_AT")
		return exitUsage
	}
	base := func(n uint64) url.Values { return url.Values{"base": {fmt.Sprint(n)}} }
	switch cmd {
	case "status":
		return c.status()
	case "roster":
		return c.show("/v1/roster", rosterText)
	case "targets":
		return c.show("/v1/targets", targetsText)
	case "aims":
		return c.aims()
	case "config get":
		if *getPlain {
			return c.show("/v1/config?plain", nil)
		}
		return c.show("/v1/config", nil)
	case "config put":
		return c.put(*putFile, own, base(*putBase))
	case "config set":
		return c.set(*setKind, *setName, *setFile, own, base(*setBase))
	case "config drop":
		return c.named(map[string]any{"drop": map[string]any{*dropKind: *dropNames}}, own, base(*dropBase))
	case "routes list":
		return c.routes(*rtsFile, c.listRoutes)
	case "routes match":
		return c.routes(*rtsFile, func(cfg *model.Config) bool { return c.match(cfg, *matchHost, *matchPath, *matchMethod) })
	case "config patch":
		return c.file(*patchFile, "PATCH", "/v1/config", base(*patchBase))
	case "config check":
		return c.check(*checkFile, *checkChanges)
	case "config history":
		return c.show("/v1/config/history", nil)
	case "config diff":
		return c.show(fmt.Sprintf("/v1/config/diff?from=%d&to=%d", *diffFrom, *diffTo), nil)
	case "config rollback":
		v := base(*backBase)
		v.Set("to", fmt.Sprint(*backTo))
		return c.change("POST", "/v1/config/rollback", v, nil)
	case "change":
		return c.show("/v1/changes/"+url.PathEscape(*chgID), nil)
	case "domain list":
		return c.show("/v1/domains", nil)
	case "domain empty":
		return c.change("POST", "/v1/domains/"+url.PathEscape(*emptyName)+"/empty", url.Values{}, nil)
	case "domain restore":
		return c.change("POST", "/v1/domains/"+url.PathEscape(*restoreName)+"/restore", url.Values{}, nil)
	case "policy list":
		return c.show("/v1/policies", policiesText)
	case "policy put":
		return c.file(*polFile, "PUT", "/v1/policies/"+url.PathEscape(*polName), base(*polBase))
	case "policy remove":
		return c.change("DELETE", "/v1/policies/"+url.PathEscape(*polRmName), base(*polRmBase), nil)
	case "policy compare":
		return c.compare(*cmpEvents, *cmpFiles)
	case "policy judge":
		return judgeLines(*judgeFile)
	case "stream":
		return c.stream(*streamFrom, *streamFor)
	case "core add":
		return c.change("POST", "/v1/core/"+url.PathEscape(*addName)+"/add", url.Values{}, nil)
	case "core remove":
		return c.change("POST", "/v1/core/"+url.PathEscape(*rmName)+"/remove", url.Values{}, nil)
	case "core refound":
		status, out, err := c.call("POST", "/v1/core/refound", url.Values{"gone": {strings.Join(*refoundGone, ",")}}, nil)
		return c.end(status, out, err, func(b []byte) {
			fmt.Printf("founding again: %s; watch it with 'mfctl status'\n", strings.TrimSpace(string(b)))
		})
	case "gate forget":
		return c.change("POST", "/v1/gates/"+url.PathEscape(*forgetName)+"/forget", url.Values{}, nil)
	}
	return exitUsage
}

var ctlClient = &http.Client{Timeout: 10 * time.Second}

// call asks one member after another until one answers with more than 'no leader'.
// Going on is safe: a change carries its id, and 503 means that it was not applied.
func (c *ctl) call(method, path string, q url.Values, body []byte) (int, []byte, error) {
	end := time.Now().Add(c.wait)
	var status int
	var out []byte
	var err error
	for i := 0; ; i++ {
		u := "http://" + c.at[i%len(c.at)] + path
		if len(q) > 0 {
			u += "?" + q.Encode()
		}
		var req *http.Request
		if req, err = http.NewRequest(method, u, bytes.NewReader(body)); err != nil {
			return 0, nil, err
		}
		var resp *http.Response
		if resp, err = ctlClient.Do(req); err == nil {
			status = resp.StatusCode
			out, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		if err == nil && status != 503 || time.Now().After(end) {
			return status, out, err
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (c *ctl) end(status int, out []byte, err error, text func([]byte)) int {
	if err != nil {
		fmt.Fprintf(os.Stderr, "mfctl: %v\n", err)
		return exitNoLeader
	}
	if status == 200 || status == 202 {
		if c.json || text == nil {
			c.print(out)
		} else {
			text(out)
		}
		return exitOK
	}
	if c.json {
		c.print(out)
	} else {
		var e struct{ Error model.Trouble }
		json.Unmarshal(out, &e)
		fmt.Fprintf(os.Stderr, "mfctl: %s: %s\n", e.Error.Code, e.Error.Message)
		for _, f := range e.Error.Faults {
			fmt.Fprintf(os.Stderr, "  %s: %s\n", f.Path, f.Text)
		}
		if e.Error.Id != "" {
			fmt.Fprintf(os.Stderr, "  id %s\n", e.Error.Id)
		}
	}
	switch status {
	case 412:
		return exitStale
	case 400, 413, 422:
		return exitInvalid
	case 503:
		return exitNoLeader
	case 504:
		return exitUnknown
	}
	return exitFailed
}

func (c *ctl) print(out []byte) {
	var b bytes.Buffer
	if c.json || json.Indent(&b, out, "", "  ") != nil {
		os.Stdout.Write(out)
		return
	}
	fmt.Println(strings.TrimSpace(b.String()))
}

func (c *ctl) show(path string, text func([]byte)) int {
	status, out, err := c.call("GET", path, nil, nil)
	return c.end(status, out, err, text)
}

func (c *ctl) change(method, path string, q url.Values, body []byte) int {
	q.Set("id", fmt.Sprintf("%s-%08x", time.Now().UTC().Format("20060102T150405Z"), rand.Uint32()))
	status, out, err := c.call(method, path, q, body)
	return c.end(status, out, err, func(b []byte) {
		var v struct {
			Id       string
			Revision uint64
		}
		json.Unmarshal(b, &v)
		fmt.Printf("in force; configuration revision %d; change %s\n", v.Revision, v.Id)
	})
}

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

// namedKinds are the parts of a configuration that hold items by name.
var namedKinds = []string{"services", "routes", "policies", "aims"}

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
			_, faults, err = judge.CheckConfig(doc)
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
	cfg, faults, err := judge.CheckConfig(b)
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

// split says where a route's exchanges go, and in which parts.
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

// status asks the members that are named and then those that the roster tells of.
func (c *ctl) status() int {
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	all := []json.RawMessage{}
	if !c.json {
		fmt.Fprintln(tw, "MEMBER\tROLE\tLEAD\tLEADER\tEPOCH\tTERM\tREVISION\tTABLE\tTARGETS\tPROXIES\tEMPTIED")
	}
	ask := func(a string) bool {
		b, err := c.view(a, "/v1/status")
		if err != nil {
			fmt.Fprintf(os.Stderr, "mfctl: %v\n", err)
			return false
		}
		all = append(all, b)
		var s core.StatusView
		if !c.json && json.Unmarshal(b, &s) == nil {
			fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", s.Name, s.Role, s.Lead, s.Leader, s.Epoch, s.Term, s.Revision, s.Table.Ver, s.Targets, s.Proxies, strings.Join(s.Emptied, ","))
		}
		return true
	}
	answers := ""
	for _, a := range c.at {
		if ask(a) && answers == "" {
			answers = a
		}
	}
	if answers != "" {
		var r struct{ Daemons []core.DaemonView }
		if b, err := c.view(answers, "/v1/roster"); err == nil && json.Unmarshal(b, &r) == nil {
			for _, d := range r.Daemons {
				if d.Kind == "core" && !slices.Contains(c.at, d.Http) {
					ask(d.Http)
				}
			}
		}
	}
	if c.json {
		json.NewEncoder(os.Stdout).Encode(all)
	}
	tw.Flush()
	if answers == "" {
		return exitNoLeader
	}
	return exitOK
}

// view is one daemon's own word.
func (c *ctl) view(at, path string) ([]byte, error) {
	resp, err := ctlClient.Get("http://" + at + path)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}

// aims adds up what the proxies count.
func (c *ctl) aims() int {
	status, out, err := c.call("GET", "/v1/roster", nil, nil)
	if err != nil || status != 200 {
		return c.end(status, out, err, nil)
	}
	var r struct{ Daemons []core.DaemonView }
	json.Unmarshal(out, &r)
	sums := map[string]*gate.AimView{}
	for _, d := range r.Daemons {
		if d.Kind != "gate" {
			continue
		}
		resp, err := ctlClient.Get("http://" + d.Http + "/v1/status")
		if err != nil {
			fmt.Fprintf(os.Stderr, "mfctl: %s left out: %v\n", d.Name, err)
			continue
		}
		var v gate.View
		err = json.NewDecoder(resp.Body).Decode(&v)
		resp.Body.Close()
		if err != nil {
			fmt.Fprintf(os.Stderr, "mfctl: %s left out: %v\n", d.Name, err)
			continue
		}
		for _, a := range v.Aims {
			if s := sums[a.Name]; s != nil {
				s.Good, s.All = s.Good+a.Good, s.All+a.All
			} else {
				sums[a.Name] = &a
			}
		}
	}
	if c.json {
		json.NewEncoder(os.Stdout).Encode(sums)
		return exitOK
	}
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "AIM\tSERVICE\tWINDOW MIN\tUNDER MS\tAIM\tMET\tEXCHANGES\tLEFT OF WHAT MAY MISS")
	for _, n := range slices.Sorted(maps.Keys(sums)) {
		s := sums[n]
		met, left := "-", "-"
		if s.All > 0 {
			met = fmt.Sprintf("%.4f", float64(s.Good)/float64(s.All))
			left = fmt.Sprintf("%.0f %%", 100*(1-float64(s.All-s.Good)/(float64(s.All)*(1-s.Part))))
		}
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%g\t%s\t%d\t%s\n", n, s.Service, s.WindowMin, s.UnderMs, s.Part, met, s.All, left)
	}
	tw.Flush()
	return exitOK
}

func rosterText(b []byte) {
	var v struct{ Daemons []core.DaemonView }
	json.Unmarshal(b, &v)
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "NAME\tKIND\tDOMAIN\tADDRESS\tHTTP\tREADY\tSTATE\tPLACE\tHEARD MS\tTABLE\tINCARNATION")
	for _, d := range v.Daemons {
		place := "-"
		if d.Member {
			place = "member"
		} else if d.Roster {
			place = "roster"
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%v\t%s\t%s\t%.0f\t%d\t%x\n", d.Name, d.Kind, d.Domain, d.Addr, d.Http, d.Ready, d.State, place, d.HeardMs, d.Ver, d.Inc)
	}
	tw.Flush()
}

func targetsText(b []byte) {
	var v struct{ Targets []core.TargetView }
	json.Unmarshal(b, &v)
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "SERVICE\tNAME\tADDRESS\tDOMAIN\tSTATE\tDEMAND\tSLOTS\tCOLD LEFT\tBEAT MS\tBAR LEFT\tWHY")
	for _, t := range v.Targets {
		bar := "-"
		if t.Bar != "" {
			bar = fmt.Sprintf("%.1fs", float64(t.BarMs)/1000)
		}
		slots, cold := "-", "-"
		if t.Slots > 0 {
			slots = fmt.Sprint(t.Slots)
		}
		if t.ColdLeft > 0 {
			cold = fmt.Sprintf("%.1fs", time.Duration(t.ColdLeft).Seconds())
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%.2f\t%s\t%s\t%.0f\t%s\t%s\n", t.Service, t.Name, t.Addr, t.Domain, t.State, t.Demand, slots, cold, t.BeatMs, bar, t.Why)
	}
	tw.Flush()
}

func policiesText(b []byte) {
	var v struct {
		Revision uint64
		Since    float64 `json:"since_ms"`
		Policies map[string]judge.Stat
	}
	json.Unmarshal(b, &v)
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "revision %d, scores of the last %.0f s\nNAME\tMODE\tSLICE\tDECIDES\tTTL MS\tEVALUATED\tFAILED\tOUT\tBARS\tWRONG\tERRORS\tMISSED\tTO BAR MS\tWHEN\tLAST ERROR\n", v.Revision, v.Since/1000)
	for _, n := range slices.Sorted(maps.Keys(v.Policies)) {
		s := v.Policies[n]
		x := judge.Score{}
		if s.Score != nil {
			x = *s.Score
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%s\t%s\n", n, s.Policy.Mode, s.Policy.Slice, s.Policy.Decide, s.Policy.TtlMs, s.Ran, s.Failed, s.Marks,
			x.Bars, x.Wrong, x.Errors, x.Missed, x.ToBarMs, s.Policy.When, s.Error)
	}
	tw.Flush()
}

// compare prints each policy's score; policies are files named for the policy.
func (c *ctl) compare(events string, files []string) int {
	ps := map[string]model.Policy{model.DefaultPolicy: model.Default()}
	for _, f := range files {
		b, err := os.ReadFile(f)
		p := model.Policy{Mode: "live"}
		var faults []model.Fault
		if err == nil {
			faults, err = model.Decode(b, &p)
		}
		if err != nil {
			fmt.Fprintf(os.Stderr, "mfctl: %s: %v\n", f, err)
			return exitInvalid
		}
		for _, x := range append(faults, judge.Check(p)...) {
			fmt.Fprintf(os.Stderr, "mfctl: %s: %s: %s\n", f, x.Path, x.Text)
			err = errBadPolicy
		}
		if err != nil {
			return exitInvalid
		}
		ps[strings.TrimSuffix(filepath.Base(f), ".json")] = p
	}
	in := io.Reader(os.Stdin)
	if events != "-" {
		f, err := os.Open(events)
		if err != nil {
			fmt.Fprintf(os.Stderr, "mfctl: %v\n", err)
			return exitUsage
		}
		defer f.Close()
		in = f
	}
	var l []judge.Event
	if err := judge.ReadEvents(in, func(e judge.Event) error { l = append(l, e); return nil }); err != nil {
		fmt.Fprintf(os.Stderr, "mfctl: %v\n", err)
		return exitInvalid
	}
	scores := judge.Compare(l, ps)
	if c.json {
		json.NewEncoder(os.Stdout).Encode(scores)
		return exitOK
	}
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "POLICY\tBARS\tWRONG\tERRORS\tMISSED\tSLOW\tMISSED SLOW\tTO BAR MS\tBARRED MS\tMOVES\tFAILED")
	for _, s := range scores {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%d\t%d\n", s.Policy, s.Bars, s.Wrong, s.Errors, s.Missed, s.Slow, s.MissedSlow, s.ToBarMs, s.BarredMs, s.Moves, s.Failed)
	}
	tw.Flush()
	return exitOK
}

var errBadPolicy = fmt.Errorf("unsound policy")

func judgeLines(config string) int {
	cfg := &model.Config{}
	if config != "" {
		b, err := os.ReadFile(config)
		var faults []model.Fault
		if err == nil {
			cfg, faults, err = judge.CheckConfig(b)
		}
		if err != nil || len(faults) > 0 {
			fmt.Fprintf(os.Stderr, "mfctl: %s: %v %v\n", config, err, faults)
			return exitInvalid
		}
	}
	d := judge.NewDesk(cfg)
	enc := json.NewEncoder(os.Stdout)
	code := exitOK
	sc := bufio.NewScanner(os.Stdin)
	sc.Buffer(nil, limit.LineMax)
	for sc.Scan() {
		for _, l := range d.Take(sc.Bytes()) {
			if l.Error != "" {
				code = exitInvalid // said at the end; the stream goes on
			}
			if enc.Encode(l) != nil {
				return exitFailed
			}
		}
	}
	if err := sc.Err(); err != nil {
		fmt.Fprintf(os.Stderr, "mfctl: line %d: %v\n", d.Line+1, err)
		return exitInvalid
	}
	return code
}

func (c *ctl) stream(from string, d time.Duration) int {
	ctx := context.Background()
	if d > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d)
		defer cancel()
	}
	q := ""
	if from != "" {
		q = "?from=" + url.QueryEscape(from)
	}
	for _, a := range c.at {
		req, err := http.NewRequestWithContext(ctx, "GET", "http://"+a+"/v1/stream"+q, nil)
		if err != nil {
			return exitUsage
		}
		resp, err := (&http.Client{}).Do(req)
		if err != nil || resp.StatusCode != 200 {
			if err == nil {
				resp.Body.Close()
			}
			continue
		}
		_, err = io.Copy(os.Stdout, resp.Body)
		resp.Body.Close()
		if ctx.Err() != nil {
			return exitOK
		}
		fmt.Fprintf(os.Stderr, "mfctl: the stream ended: %v\n", err)
		return exitFailed
	}
	fmt.Fprintln(os.Stderr, "mfctl: no member serves the stream")
	return exitNoLeader
}
