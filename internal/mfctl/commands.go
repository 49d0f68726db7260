// This file is the table of mfctl's commands: each with its arguments and its handler.

package mfctl

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"myrtlefold/internal/shared/config"
)

// handler carries out a command whose arguments have been parsed, and returns the exit code.
type handler func() int

// ctlCommand is a command or, without a handler of its own, a group of commands.
type ctlCommand struct {
	name string // as it is typed, behind its group's name
	help string
	// define puts the command's arguments on the command line and returns its handler; nil: a group.
	define func(*ctl, *kingpin.CmdClause) handler
	// offline commands need no member of the core.
	offline bool
}

// ctlCommands are in the order of the help; a group stands before its commands.
var ctlCommands = []ctlCommand{
	{name: "status", help: "each member's own view, and the core as its leader sees it: who leads and by whom, who is silent or learning, and whether the next loss can be borne", define: without((*ctl).status)},
	{name: "roster", help: "all daemons: kind, domain, address, readiness", define: show("/v1/roster", rosterText)},
	{name: "targets", help: "back ends, with the reason for each bar or hold", define: show("/v1/targets", targetsText)},
	{name: "aims", help: "service-level aims: what part of each service's exchanges met them, over all proxies", define: without((*ctl).aims)},

	{name: "config", help: "the configuration and its revisions"},
	{name: "config get", help: "print the configuration in force", define: configGet},
	{name: "config put", help: "replace the whole configuration", define: configPut},
	{name: "config patch", help: "apply a merge patch (RFC 7396)", define: configPatch},
	{name: "config set", help: "add or replace one named item: a service, route, policy or aim", define: configSet},
	{name: "config drop", help: "remove named items", define: configDrop},
	{name: "config check", help: "check a configuration here, without asking anyone: every fault by its place", define: configCheck, offline: true},
	{name: "config history", help: "the changes that are kept", define: show("/v1/config/history", nil)},
	{name: "config diff", help: "what changed from one revision to another, as a merge patch", define: configDiff},
	{name: "config rollback", help: "put an earlier revision's text in force as a new revision", define: configRollback},

	{name: "routes", help: "routes: which exchanges go where, and what holds for them", define: routesGroup},
	{name: "routes list", help: "all routes (the default)", define: routesList},
	{name: "routes match", help: "the route or rule that would take an exchange, and its services", define: routesMatch},

	{name: "change", help: "what became of a change", define: changeGet},

	{name: "domain", help: "domains (zones)"},
	{name: "domain list", help: "domains and which are emptied", define: show("/v1/domains", nil)},
	{name: "domain empty", help: "keep new exchanges from a domain's targets", define: post("domain", "name", "/v1/domains/%s/empty")},
	{name: "domain restore", help: "take an emptied domain back", define: post("domain", "name", "/v1/domains/%s/restore")},

	{name: "policy", help: "policies that judge targets"},
	{name: "policy list", help: "policies in force, with their counts", define: show("/v1/policies", policiesText)},
	{name: "policy put", help: "create or replace a policy", define: policyPut},
	{name: "policy remove", help: "remove a policy", define: policyRemove},
	{name: "policy compare", help: "run policies over recorded events and compare them", define: policyCompare, offline: true},
	{name: "policy judge", help: "read target events on standard input, write decisions on standard output", define: policyJudge, offline: true},

	{name: "stream", help: "follow target events and decisions as JSON lines", define: streamFollow},

	{name: "core", help: "members of the core"},
	{name: "core add", help: "let a running core daemon become a member", define: post("name", "daemon", "/v1/core/%s/add")},
	{name: "core remove", help: "take a member out", define: post("name", "member", "/v1/core/%s/remove")},
	{name: "core refound", help: "found the core again with the members that are there; the override for when no majority will return (see docs/operate.md)", define: coreRefound},

	{name: "gate", help: "proxies"},
	{name: "gate forget", help: "drop a proxy that is gone for good from the roster", define: post("name", "proxy", "/v1/gates/%s/forget")},
}

// define puts all commands on the command line; it returns the handlers by the commands' names, and
// which of them need no member.
func (c *ctl) define(app *kingpin.Application) (handlers map[string]handler, offline map[string]bool) {
	handlers, offline = map[string]handler{}, map[string]bool{}
	groups := map[string]*kingpin.CmdClause{}
	for _, command := range ctlCommands {
		group, name, nested := strings.Cut(command.name, " ")
		var clause *kingpin.CmdClause
		if nested {
			clause = groups[group].Command(name, command.help)
		} else {
			clause = app.Command(command.name, command.help)
			groups[command.name] = clause
		}
		if command.define != nil {
			handlers[command.name] = command.define(c, clause)
		}
		offline[command.name] = command.offline
	}
	return handlers, offline
}

// without defines a command without arguments.
func without(run func(*ctl) int) func(*ctl, *kingpin.CmdClause) handler {
	return func(c *ctl, _ *kingpin.CmdClause) handler {
		return func() int { return run(c) }
	}
}

// show defines a command that prints what a member answers; text prints it for people, nil: as JSON.
func show(path string, text func([]byte)) func(*ctl, *kingpin.CmdClause) handler {
	return without(func(c *ctl) int { return c.show(path, text) })
}

// post defines a command that makes a change of the one thing that its argument names.
func post(argument, help, path string) func(*ctl, *kingpin.CmdClause) handler {
	return func(c *ctl, cmd *kingpin.CmdClause) handler {
		name := cmd.Arg(argument, help).Required().String()
		return func() int {
			return c.change(http.MethodPost, fmt.Sprintf(path, url.PathEscape(*name)), url.Values{}, nil)
		}
	}
}

func fileArg(cmd *kingpin.CmdClause) *string {
	return cmd.Arg("file", "JSON file, - for standard input").Required().String()
}

func baseFlag(cmd *kingpin.CmdClause, help string) *uint64 {
	return cmd.Flag("base", help).Required().Uint64()
}

func ownRevisionFlag(cmd *kingpin.CmdClause) *uint64 {
	return cmd.Flag("revision", "your own number for the result, above the present one (default: the document's, else the next)").Uint64()
}

func kindArg(cmd *kingpin.CmdClause) *string {
	return cmd.Arg("kind", strings.Join(namedKinds, ", ")).Required().Enum(namedKinds...)
}

const builtOn = "revision that it was built on"

// basedOn is the query of a change to a revision of the configuration.
func basedOn(revision uint64) url.Values { return url.Values{"base": {fmt.Sprint(revision)}} }

func configGet(c *ctl, cmd *kingpin.CmdClause) handler {
	plain := cmd.Flag("plain", "only the document, with its revision inside, as 'config put' takes it").Bool()
	return func() int {
		if *plain {
			return c.show("/v1/config?plain", nil)
		}
		return c.show("/v1/config", nil)
	}
}

func configPut(c *ctl, cmd *kingpin.CmdClause) handler {
	file, base, own := fileArg(cmd), baseFlag(cmd, builtOn), ownRevisionFlag(cmd)
	return func() int { return c.put(*file, *own, basedOn(*base)) }
}

func configPatch(c *ctl, cmd *kingpin.CmdClause) handler {
	file, base := fileArg(cmd), baseFlag(cmd, builtOn)
	return func() int { return c.file(*file, http.MethodPatch, "/v1/config", basedOn(*base)) }
}

func configSet(c *ctl, cmd *kingpin.CmdClause) handler {
	kind := kindArg(cmd)
	name := cmd.Arg("name", "the item's name").Required().String()
	file, base, own := fileArg(cmd), baseFlag(cmd, builtOn), ownRevisionFlag(cmd)
	return func() int { return c.set(*kind, *name, *file, *own, basedOn(*base)) }
}

func configDrop(c *ctl, cmd *kingpin.CmdClause) handler {
	kind := kindArg(cmd)
	names := cmd.Arg("name", "names to remove; one that is not there is no fault").Required().Strings()
	base, own := baseFlag(cmd, builtOn), ownRevisionFlag(cmd)
	return func() int {
		return c.named(config.NamedChange{Revision: *own, Drop: map[string][]string{*kind: *names}}, basedOn(*base))
	}
}

func configCheck(c *ctl, cmd *kingpin.CmdClause) handler {
	file := fileArg(cmd)
	changes := cmd.Flag("change", "check what this partial change makes of it, too (repeat; each on the one before)").Strings()
	return func() int { return c.check(*file, *changes) }
}

func configDiff(c *ctl, cmd *kingpin.CmdClause) handler {
	from := cmd.Arg("from", "revision").Required().Uint64()
	to := cmd.Arg("to", "revision").Required().Uint64()
	return func() int { return c.show(fmt.Sprintf("/v1/config/diff?from=%d&to=%d", *from, *to), nil) }
}

func configRollback(c *ctl, cmd *kingpin.CmdClause) handler {
	to := cmd.Arg("to", "revision").Required().Uint64()
	base := baseFlag(cmd, "present revision")
	return func() int {
		query := basedOn(*base)
		query.Set("to", fmt.Sprint(*to))
		return c.change(http.MethodPost, "/v1/config/rollback", query, nil)
	}
}

// routesGroup defines the flag that the commands on routes have in common.
func routesGroup(c *ctl, cmd *kingpin.CmdClause) handler {
	cmd.Flag("config", "read this file instead of asking a member").StringVar(&c.routesFile)
	return nil
}

func routesList(c *ctl, cmd *kingpin.CmdClause) handler {
	cmd.Default()
	return func() int { return c.routes(c.listRoutes) }
}

func routesMatch(c *ctl, cmd *kingpin.CmdClause) handler {
	host := cmd.Arg("host", "host that the caller names").Required().String()
	path := cmd.Arg("path", "path of the exchange").Required().String()
	method := cmd.Flag("method", "method, for rules").Default(http.MethodGet).String()
	return func() int {
		return c.routes(func(cfg *config.Config) bool { return c.match(cfg, *host, *path, *method) })
	}
}

func changeGet(c *ctl, cmd *kingpin.CmdClause) handler {
	id := cmd.Arg("id", "the change's id").Required().String()
	return func() int { return c.show("/v1/changes/"+url.PathEscape(*id), nil) }
}

func policyPut(c *ctl, cmd *kingpin.CmdClause) handler {
	name := cmd.Arg("name", "policy").Required().String()
	file := fileArg(cmd)
	base := baseFlag(cmd, "configuration revision that it was built on")
	return func() int {
		return c.file(*file, http.MethodPut, "/v1/policies/"+url.PathEscape(*name), basedOn(*base))
	}
}

func policyRemove(c *ctl, cmd *kingpin.CmdClause) handler {
	name := cmd.Arg("name", "policy").Required().String()
	base := baseFlag(cmd, "configuration revision")
	return func() int {
		return c.change(http.MethodDelete, "/v1/policies/"+url.PathEscape(*name), basedOn(*base), nil)
	}
}

func policyCompare(c *ctl, cmd *kingpin.CmdClause) handler {
	events := cmd.Flag("events", "recording (JSON lines), - for standard input").Required().String()
	files := cmd.Arg("file", "policy files; the default policy always takes part").Strings()
	return func() int { return c.compare(*events, *files) }
}

func policyJudge(_ *ctl, cmd *kingpin.CmdClause) handler {
	config := cmd.Flag("config", "configuration whose policies judge; without it the default policy").String()
	return func() int { return judgeLines(*config) }
}

func streamFollow(c *ctl, cmd *kingpin.CmdClause) handler {
	from := cmd.Flag("from", "resume after this term.seq").String()
	span := cmd.Flag("for", "stop after so long").Duration()
	return func() int { return c.stream(*from, *span) }
}

func coreRefound(c *ctl, cmd *kingpin.CmdClause) handler {
	gone := cmd.Flag("gone", "a member whose disk will never come back (repeat)").Strings()
	return func() int {
		status, out, err := c.call(http.MethodPost, "/v1/core/refound", url.Values{"gone": {strings.Join(*gone, ",")}}, nil)
		return c.end(status, out, err, func(b []byte) {
			fmt.Printf("founding again: %s; watch it with 'mfctl status'\n", strings.TrimSpace(string(b)))
		})
	}
}

// setOne is the change that adds or replaces one item.
func setOne(kind, name string, item []byte) config.NamedChange {
	return config.NamedChange{Set: map[string]map[string]json.RawMessage{kind: {name: item}}}
}
