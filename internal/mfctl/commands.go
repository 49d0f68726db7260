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
	{name: "status", help: "view of each member, and the control plane as seen by its leader: leader, lease, state of the members and failure tolerance", define: withoutArguments((*cli).status)},
	{name: "roster", help: "list all daemons with kind, domain, address and readiness", define: showCommand("/v1/roster", printDaemons)},
	{name: "targets", help: "list the targets, with the reason why one gets no requests", define: showCommand("/v1/targets", printTargets)},
	{name: "aims", help: "service-level objectives: ratio of requests that met them, over all proxies", define: withoutArguments((*cli).objectives)},

	{name: "config", help: "read and change the configuration"},
	{name: "config get", help: "print the current configuration", define: configGet},
	{name: "config put", help: "replace the complete configuration", define: configPut},
	{name: "config patch", help: "apply a merge patch (RFC 7396)", define: configPatch},
	{name: "config set", help: "add or replace one named item: a service, route, policy or objective", define: configSet},
	{name: "config drop", help: "remove named items", define: configDrop},
	{name: "config check", help: "check a configuration file offline and print each fault with its path", define: configCheck, offline: true},
	{name: "config history", help: "list the recent changes", define: showCommand("/v1/config/history", nil)},
	{name: "config diff", help: "print the difference between two revisions as a merge patch", define: configDiff},
	{name: "config rollback", help: "apply the content of an earlier revision as a new revision", define: configRollback},

	{name: "routes", help: "list the routes and find the one that matches a request", define: routesGroup},
	{name: "routes list", help: "list all routes and rules (the default)", define: routesList},
	{name: "routes match", help: "print the route or rule that matches a request, and its services", define: routesMatch},

	{name: "change", help: "print the outcome of a change", define: changeGet},

	{name: "domain", help: "failure domains (zones)"},
	{name: "domain list", help: "list the domains and whether they are emptied", define: showCommand("/v1/domains", nil)},
	{name: "domain empty", help: "stop sending new requests to the targets of a domain", define: postCommand("domain", "name", "/v1/domains/%s/empty")},
	{name: "domain restore", help: "resume sending requests to an emptied domain", define: postCommand("domain", "name", "/v1/domains/%s/restore")},

	{name: "policy", help: "outlier detection policies"},
	{name: "policy list", help: "list the policies with their modes and statistics", define: showCommand("/v1/policies", printPolicies)},
	{name: "policy put", help: "create or replace a policy", define: policyPut},
	{name: "policy remove", help: "remove a policy", define: policyRemove},
	{name: "policy compare", help: "evaluate policies on recorded events and compare their scores", define: policyCompare, offline: true},
	{name: "policy judge", help: "evaluate policies on target events from standard input and print the decisions", define: policyJudge, offline: true},

	{name: "stream", help: "follow target events and decisions as JSON lines", define: streamFollow},

	{name: "core", help: "members of the control plane"},
	{name: "core add", help: "add a running control daemon as a member", define: postCommand("name", "daemon", "/v1/core/%s/add")},
	{name: "core remove", help: "remove a member", define: postCommand("name", "member", "/v1/core/%s/remove")},
	{name: "core refound", help: "recover the control plane with the remaining members when a majority is permanently lost (see docs/operate.md)", define: coreRefound},

	{name: "gate", help: "proxies"},
	{name: "gate forget", help: "remove a permanently lost proxy from the proxy membership", define: postCommand("name", "proxy", "/v1/gates/%s/forget")},
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
	return clause.Arg("file", "JSON file, or - for standard input").Required().String()
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
	return clause.Flag("revision", "revision number of the result, higher than the current one (default: the document's, else the next)").Uint64()
}

func revisionArgument(clause *kingpin.CmdClause, name string) *uint64 {
	return clause.Arg(name, "revision").Required().Uint64()
}

// baseQuery returns the query of a change that is based on a revision of the configuration.
func baseQuery(revision uint64) url.Values { return url.Values{"base": {fmt.Sprint(revision)}} }

func configGet(c *cli, clause *kingpin.CmdClause) handler {
	plain := clause.Flag("plain", "print only the document, including its revision, as accepted by 'config put'").Bool()
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
	name := nameArgument(clause, "name of the item")
	file, base, revision := fileArgument(clause), baseFlag(clause, baseHelp), revisionFlag(clause)
	return func() int { return c.setItem(*kind, *name, *file, *revision, baseQuery(*base)) }
}

func configDrop(c *cli, clause *kingpin.CmdClause) handler {
	kind := kindArgument(clause)
	names := clause.Arg("name", "names to remove; missing ones are ignored").Required().Strings()
	base, revision := baseFlag(clause, baseHelp), revisionFlag(clause)
	return func() int {
		drop := map[string][]string{*kind: *names}
		return c.sendNamedChange(config.NamedChange{Revision: *revision, Drop: drop}, baseQuery(*base))
	}
}

func configCheck(c *cli, clause *kingpin.CmdClause) handler {
	file := fileArgument(clause)
	changes := clause.Flag("change", "partial change to apply and check as well (repeatable; each applies to the result of the one before)").Strings()
	return func() int { return c.checkConfig(*file, *changes) }
}

func configDiff(c *cli, clause *kingpin.CmdClause) handler {
	from, to := revisionArgument(clause, "from"), revisionArgument(clause, "to")
	return func() int { return c.show(fmt.Sprintf("/v1/config/diff?from=%d&to=%d", *from, *to), nil) }
}

func configRollback(c *cli, clause *kingpin.CmdClause) handler {
	to := revisionArgument(clause, "to")
	base := baseFlag(clause, "current revision")
	return func() int {
		query := baseQuery(*base)
		query.Set("to", fmt.Sprint(*to))
		return c.change(request{method: http.MethodPost, path: "/v1/config/rollback", query: query})
	}
}

// routesGroup defines the flag shared by the commands on routes.
func routesGroup(c *cli, clause *kingpin.CmdClause) handler {
	clause.Flag("config", "configuration file to read instead of the current configuration").StringVar(&c.routesFile)
	return nil
}

func routesList(c *cli, clause *kingpin.CmdClause) handler {
	clause.Default()
	return func() int { return c.withConfig(c.listRoutes) }
}

func routesMatch(c *cli, clause *kingpin.CmdClause) handler {
	host := clause.Arg("host", "host of the request").Required().String()
	path := clause.Arg("path", "path of the request").Required().String()
	method := clause.Flag("method", "method of the request, which only rules match").Default(http.MethodGet).String()
	return func() int {
		return c.withConfig(func(cfg *config.Config) bool { return c.matchRoute(cfg, *host, *path, *method) })
	}
}

func changeGet(c *cli, clause *kingpin.CmdClause) handler {
	id := clause.Arg("id", "id of the change").Required().String()
	return func() int { return c.show("/v1/changes/"+url.PathEscape(*id), nil) }
}

func policyPath(name string) string { return "/v1/policies/" + url.PathEscape(name) }

func policyPut(c *cli, clause *kingpin.CmdClause) handler {
	name := nameArgument(clause, "policy")
	file := fileArgument(clause)
	base := baseFlag(clause, "configuration revision that the change is based on")
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
	events := clause.Flag("events", "recorded events (JSON lines), or - for standard input").Required().String()
	files := clause.Arg("file", "policy files; the default policy is always included").Strings()
	return func() int { return c.comparePolicies(*events, *files) }
}

func policyJudge(_ *cli, clause *kingpin.CmdClause) handler {
	file := clause.Flag("config", "configuration file with the policies to evaluate (default: only the default policy)").String()
	return func() int { return evaluatePolicies(*file) }
}

func streamFollow(c *cli, clause *kingpin.CmdClause) handler {
	from := clause.Flag("from", "resume after the line with this term.seq").String()
	duration := clause.Flag("for", "stop after this duration").Duration()
	return func() int { return c.followStream(*from, *duration) }
}

func coreRefound(c *cli, clause *kingpin.CmdClause) handler {
	gone := clause.Flag("gone", "member whose disk is permanently lost (repeatable)").Strings()
	return func() int {
		query := url.Values{"gone": {strings.Join(*gone, ",")}}
		got, err := c.call(request{method: http.MethodPost, path: "/v1/core/refound", query: query})
		return c.printResult(got, err, func(body []byte) {
			fmt.Printf("recovery started: %s; follow it with 'mfctl status'\n", strings.TrimSpace(string(body)))
		})
	}
}
