// This file is mfctl, the operators' command: it asks any core member, tries the
// next one where that is safe, names its changes itself so that asking again
// can't apply one twice, and says by its exit code how a call ended.

package host

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

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

	app.Command("status", "each member's own view, and the core as its leader sees it: who leads and by whom, who is silent or learning, and whether the next loss can be borne")
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

// call asks one member after another until one answers with more than 'no leader', and gives
// the last answer that it got, or an error if it got none. Going on is safe: a change carries
// its id, and 503 means that it was not applied. That does not speak for another member
// whose answer was lost: then the end is unknown.
func (c *ctl) call(method, path string, q url.Values, body []byte) (status int, out []byte, err error) {
	end := time.Now().Add(c.wait)
	lost := false
	for i := 0; ; i++ {
		u := "http://" + c.at[i%len(c.at)] + path
		if len(q) > 0 {
			u += "?" + q.Encode()
		}
		s, b, failed := callOnce(method, u, body)
		if failed == nil {
			status, out, err = s, b, nil
		} else if status == 0 {
			err = failed
		}
		lost = lost || failed != nil && method != http.MethodGet && !neverConnected(failed)
		switch {
		case failed == nil && s != 503:
			return status, out, err
		case time.Now().After(end) && lost:
			return http.StatusGatewayTimeout, lostAnswer(q.Get("id")), nil
		case time.Now().After(end):
			return status, out, err
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// neverConnected says that a call failed before anything of it was sent.
func neverConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// lostAnswer is the end of a change that may have been taken by a member that did not answer.
func lostAnswer(id string) []byte {
	return model.Trouble{Code: "unknown", Refusal: model.RefusedCannotTell, Ran: "unknown", Id: id,
		Message: "a member's answer was lost; the change may have been agreed: ask for it by its id"}.JSON()
}

// callOnce makes one call and reads the whole answer.
func callOnce(method, u string, body []byte) (status int, out []byte, err error) {
	req, err := http.NewRequest(method, u, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := ctlClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	out, err = io.ReadAll(resp.Body)
	return resp.StatusCode, out, err
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
		fmt.Fprintf(os.Stderr, "mfctl: %s: %s\n", refusalText(e.Error), e.Error.Message)
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

// refusalText is a refusal's kind and code for a reader: "cannot tell now (no_leader)".
func refusalText(t model.Trouble) string {
	kind := map[model.Refusal]string{
		model.RefusedVersion:    "another version",
		model.RefusedInvalid:    "invalid",
		model.RefusedCannotTell: "cannot tell now",
		model.RefusedConflict:   "conflict",
		model.RefusedNotFound:   "not found",
	}[t.Refusal]
	if kind == "" {
		return t.Code
	}
	return fmt.Sprintf("%s (%s)", kind, t.Code)
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

// namedKinds are the parts of a configuration that hold items by name.
var namedKinds = []string{"services", "routes", "policies", "aims"}

var errBadPolicy = fmt.Errorf("unsound policy")
