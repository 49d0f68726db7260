// The commands of mfctl with their arguments and handlers.

package mfctl

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"myrtlefold/internal/shared/config"
)

// handler runs a command after its arguments have been parsed and returns the exit code.
type handler func() int

// definition defines a command's arguments and flags and returns its handler, nil for a group of commands.
type definition func(*cli, *kingpin.CmdClause) handler

// command is a command or a group of commands.
type command struct {
	name    string // full name, including that of the group
	help    string
	define  definition // nil for a group without flags
	offline bool       // the command contacts no member of the control plane
}

// commands are listed in the order of the help. A group comes before its commands.
var commands = []command{
	{name: "status", help: "each member's own view, and the core as its leader sees it: who leads and by whom, who is silent or learning, and whether the next loss can be borne", define: withoutArguments((*cli).status)},
	{name: "roster", help: "all daemons: kind, domain, address, readiness", define: showCommand("/v1/roster", printDaemons)},
	{name: "targets", help: "back ends, with the reason for each bar or hold", define: showCommand("/v1/targets", printTargets)},
	{name: "aims", help: "service-level aims: what part of each service's exchanges met them, over all proxies", define: withoutArguments((*cli).objectives)},

	{name: "config", help: "the configuration and its revisions"},
	{name: "config get", help: "print the configuration in force", define: configGet},
	{name: "config put", help: "replace the whole configuration", define: configPut},
	{name: "config patch", help: "apply a merge patch (RFC 7396)", define: configPatch},
	{name: "config set", help: "add or replace one named item: a service, route, policy or aim", define: configSet},
	{name: "config drop", help: "remove named items", define: configDrop},
	{name: "config check", help: "check a configuration here, without asking anyone: every fault by its place", define: configCheck, offline: true},
	{name: "config history", help: "the changes that are kept", define: showCommand("/v1/config/history", nil)},
	{name: "config diff", help: "what changed from one revision to another, as a merge patch", define: configDiff},
	{name: "config rollback", help: "put an earlier revision's text in force as a new revision", define: configRollback},

	{name: "routes", help: "routes: which exchanges go where, and what holds for them", define: routesGroup},
	{name: "routes list", help: "all routes (the default)", define: routesList},
	{name: "routes match", help: "the route or rule that would take an exchange, and its services", define: routesMatch},

	{name: "change", help: "what became of a change", define: changeGet},

	{name: "domain", help: "domains (zones)"},
	{name: "domain list", help: "domains and which are emptied", define: showCommand("/v1/domains", nil)},
	{name: "domain empty", help: "keep new exchanges from a domain's targets", define: postCommand("domain", "name", "/v1/domains/%s/empty")},
	{name: "domain restore", help: "take an emptied domain back", define: postCommand("domain", "name", "/v1/domains/%s/restore")},

	{name: "policy", help: "policies that judge targets"},
	{name: "policy list", help: "policies in force, with their counts", define: showCommand("/v1/policies", printPolicies)},
	{name: "policy put", help: "create or replace a policy", define: policyPut},
	{name: "policy remove", help: "remove a policy", define: policyRemove},
	{name: "policy compare", help: "run policies over recorded events and compare them", define: policyCompare, offline: true},
	{name: "policy judge", help: "read target events on standard input, write decisions on standard output", define: policyJudge, offline: true},

	{name: "stream", help: "follow target events and decisions as JSON lines", define: streamFollow},

	{name: "core", help: "members of the core"},
	{name: "core add", help: "let a running core daemon become a member", define: postCommand("name", "daemon", "/v1/core/%s/add")},
	{name: "core remove", help: "take a member out", define: postCommand("name", "member", "/v1/core/%s/remove")},
	{name: "core refound", help: "found the core again with the members that are there; the override for when no majority will return (see docs/operate.md)", define: coreRefound},

	{name: "gate", help: "proxies"},
	{name: "gate forget", help: "drop a proxy that is gone for good from the roster", define: postCommand("name", "proxy", "/v1/gates/%s/forget")},
}

// define defines all commands on the command line. It returns the handlers by command name and the set of commands that
// contact no member.
func (c *cli) define(app *kingpin.Application) (handlers map[string]handler, offline map[string]bool) {
	handlers, offline = map[string]handler{}, map[string]bool{}
	groups := map[string]*kingpin.CmdClause{}
	for _, command := range commands {
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

// withoutArguments defines a command without arguments.
func withoutArguments(run func(*cli) int) definition {
	return func(c *cli, _ *kingpin.CmdClause) handler {
		return func() int { return run(c) }
	}
}

// showCommand defines a command that prints the response of a member to a GET request. printText prints it as text; if
// nil, it is printed as JSON.
func showCommand(path string, printText func(body []byte)) definition {
	return withoutArguments(func(c *cli) int { return c.show(path, printText) })
}

// postCommand defines a command that sends a POST request for the object named by its argument.
func postCommand(argument, help, path string) definition {
	return func(c *cli, clause *kingpin.CmdClause) handler {
		name := clause.Arg(argument, help).Required().String()
		return func() int {
			return c.change(request{method: http.MethodPost, path: fmt.Sprintf(path, url.PathEscape(*name)), query: url.Values{}})
		}
	}
}

func fileArgument(clause *kingpin.CmdClause) *string {
	return clause.Arg("file", "JSON file, - for standard input").Required().String()
}

func nameArgument(clause *kingpin.CmdClause, help string) *string {
	return clause.Arg("name", help).Required().String()
}

// namedKinds are the sections of a configuration that map names to items.
var namedKinds = []string{"services", "routes", "policies", "aims"}

func kindArgument(clause *kingpin.CmdClause) *string {
	return clause.Arg("kind", strings.Join(namedKinds, ", ")).Required().Enum(namedKinds...)
}

// baseHelp is the help text of the flag --base.
const baseHelp = "revision that it was built on"

func baseFlag(clause *kingpin.CmdClause, help string) *uint64 {
	return clause.Flag("base", help).Required().Uint64()
}

func revisionFlag(clause *kingpin.CmdClause) *uint64 {
	return clause.Flag("revision", "your own number for the result, above the present one (default: the document's, else the next)").Uint64()
}

func revisionArgument(clause *kingpin.CmdClause, name string) *uint64 {
	return clause.Arg(name, "revision").Required().Uint64()
}

// baseQuery returns the query of a change that is based on a revision of the configuration.
func baseQuery(revision uint64) url.Values { return url.Values{"base": {fmt.Sprint(revision)}} }

func configGet(c *cli, clause *kingpin.CmdClause) handler {
	plain := clause.Flag("plain", "only the document, with its revision inside, as 'config put' takes it").Bool()
	return func() int {
		if *plain {
			return c.show("/v1/config?plain", nil)
		}
		return c.show("/v1/config", nil)
	}
}

func configPut(c *cli, clause *kingpin.CmdClause) handler {
	file, base, revision := fileArgument(clause), baseFlag(clause, baseHelp), revisionFlag(clause)
	return func() int { return c.putConfig(*file, *revision, baseQuery(*base)) }
}

func configPatch(c *cli, clause *kingpin.CmdClause) handler {
	file, base := fileArgument(clause), baseFlag(clause, baseHelp)
	return func() int {
		return c.changeByFile(*file, request{method: http.MethodPatch, path: "/v1/config", query: baseQuery(*base)})
	}
}

func configSet(c *cli, clause *kingpin.CmdClause) handler {
	kind := kindArgument(clause)
	name := nameArgument(clause, "the item's name")
	file, base, revision := fileArgument(clause), baseFlag(clause, baseHelp), revisionFlag(clause)
	return func() int { return c.setItem(*kind, *name, *file, *revision, baseQuery(*base)) }
}

func configDrop(c *cli, clause *kingpin.CmdClause) handler {
	kind := kindArgument(clause)
	names := clause.Arg("name", "names to remove; one that is not there is no fault").Required().Strings()
	base, revision := baseFlag(clause, baseHelp), revisionFlag(clause)
	return func() int {
		drop := map[string][]string{*kind: *names}
		return c.sendNamedChange(config.NamedChange{Revision: *revision, Drop: drop}, baseQuery(*base))
	}
}

func configCheck(c *cli, clause *kingpin.CmdClause) handler {
	file := fileArgument(clause)
	changes := clause.Flag("change", "check what this partial change makes of it, too (repeat; each on the one before)").Strings()
	return func() int { return c.checkConfig(*file, *changes) }
}

func configDiff(c *cli, clause *kingpin.CmdClause) handler {
	from, to := revisionArgument(clause, "from"), revisionArgument(clause, "to")
	return func() int { return c.show(fmt.Sprintf("/v1/config/diff?from=%d&to=%d", *from, *to), nil) }
}

func configRollback(c *cli, clause *kingpin.CmdClause) handler {
	to := revisionArgument(clause, "to")
	base := baseFlag(clause, "present revision")
	return func() int {
		query := baseQuery(*base)
		query.Set("to", fmt.Sprint(*to))
		return c.change(request{method: http.MethodPost, path: "/v1/config/rollback", query: query})
	}
}

// routesGroup defines the flag shared by the commands on routes.
func routesGroup(c *cli, clause *kingpin.CmdClause) handler {
	clause.Flag("config", "read this file instead of asking a member").StringVar(&c.routesFile)
	return nil
}

func routesList(c *cli, clause *kingpin.CmdClause) handler {
	clause.Default()
	return func() int { return c.withConfig(c.listRoutes) }
}

func routesMatch(c *cli, clause *kingpin.CmdClause) handler {
	host := clause.Arg("host", "host that the caller names").Required().String()
	path := clause.Arg("path", "path of the exchange").Required().String()
	method := clause.Flag("method", "method, for rules").Default(http.MethodGet).String()
	return func() int {
		return c.withConfig(func(cfg *config.Config) bool { return c.matchRoute(cfg, *host, *path, *method) })
	}
}

func changeGet(c *cli, clause *kingpin.CmdClause) handler {
	id := clause.Arg("id", "the change's id").Required().String()
	return func() int { return c.show("/v1/changes/"+url.PathEscape(*id), nil) }
}

func policyPath(name string) string { return "/v1/policies/" + url.PathEscape(name) }

func policyPut(c *cli, clause *kingpin.CmdClause) handler {
	name := nameArgument(clause, "policy")
	file := fileArgument(clause)
	base := baseFlag(clause, "configuration revision that it was built on")
	return func() int {
		return c.changeByFile(*file, request{method: http.MethodPut, path: policyPath(*name), query: baseQuery(*base)})
	}
}

func policyRemove(c *cli, clause *kingpin.CmdClause) handler {
	name := nameArgument(clause, "policy")
	base := baseFlag(clause, "configuration revision")
	return func() int {
		return c.change(request{method: http.MethodDelete, path: policyPath(*name), query: baseQuery(*base)})
	}
}

func policyCompare(c *cli, clause *kingpin.CmdClause) handler {
	events := clause.Flag("events", "recording (JSON lines), - for standard input").Required().String()
	files := clause.Arg("file", "policy files; the default policy always takes part").Strings()
	return func() int { return c.comparePolicies(*events, *files) }
}

func policyJudge(_ *cli, clause *kingpin.CmdClause) handler {
	file := clause.Flag("config", "configuration whose policies judge; without it the default policy").String()
	return func() int { return evaluatePolicies(*file) }
}

func streamFollow(c *cli, clause *kingpin.CmdClause) handler {
	from := clause.Flag("from", "resume after this term.seq").String()
	duration := clause.Flag("for", "stop after so long").Duration()
	return func() int { return c.followStream(*from, *duration) }
}

func coreRefound(c *cli, clause *kingpin.CmdClause) handler {
	gone := clause.Flag("gone", "a member whose disk will never come back (repeat)").Strings()
	return func() int {
		query := url.Values{"gone": {strings.Join(*gone, ",")}}
		got, err := c.call(request{method: http.MethodPost, path: "/v1/core/refound", query: query})
		return c.printResult(got, err, func(body []byte) {
			fmt.Printf("founding again: %s; watch it with 'mfctl status'\n", strings.TrimSpace(string(body)))
		})
	}
}
