// The commands that print the daemons, the targets and the service-level objectives.

package mfctl

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"time"

	"myrtlefold/internal/controlplane"
	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/shared/wire"
)

// parseDaemons decodes the response body of /v1/roster. With an error it returns the daemons decoded so far.
func parseDaemons(body []byte) ([]controlplane.DaemonView, error) {
	var roster struct{ Daemons []controlplane.DaemonView }
	err := json.Unmarshal(body, &roster)
	return roster.Daemons, err
}

// printDaemons prints the response body of /v1/roster as a table.
func printDaemons(body []byte) {
	daemons, _ := parseDaemons(body)
	table := newTable()
	defer table.Flush()
	fmt.Fprintln(table, "NAME\tKIND\tDOMAIN\tADDRESS\tHTTP\tREADY\tSTATE\tMEMBERSHIP\tLAST CONTACT MS\tTABLE\tINCARNATION")
	for _, d := range daemons {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%v\t%s\t%s\t%.0f\t%d\t%x\n", d.Name, d.Kind, d.Domain, d.Addr, d.HTTP,
			d.Ready, d.State, membershipText(d), d.LastContactMs, d.TableVersion, d.Incarnation)
	}
}

// membershipText returns the membership of a daemon in the control plane or among the proxies, a dash if it has none.
func membershipText(d controlplane.DaemonView) string {
	switch {
	case d.Member:
		return "member"
	case d.ProxyMember:
		return "proxy member"
	}
	return "-"
}

// printTargets prints the response body of /v1/targets as a table.
func printTargets(body []byte) {
	var list struct{ Targets []controlplane.TargetView }
	json.Unmarshal(body, &list) // targets that can't be decoded are left out
	table := newTable()
	defer table.Flush()
	fmt.Fprintln(table, "SERVICE\tNAME\tADDRESS\tDOMAIN\tSTATE\tDEMAND\tSLOTS\tWARM-UP LEFT\tLAST HEARTBEAT MS\tEJECTION LEFT\tREASON")
	for _, t := range list.Targets {
		slots, warmupLeft, ejectionLeft := "-", "-", "-"
		if t.Slots > 0 {
			slots = fmt.Sprint(t.Slots)
		}
		if t.WarmupLeft > 0 {
			warmupLeft = fmt.Sprintf("%.1fs", time.Duration(t.WarmupLeft).Seconds())
		}
		if t.EjectionPolicy != "" {
			ejectionLeft = fmt.Sprintf("%.1fs", float64(t.EjectionLeftMs)/1000)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%.2f\t%s\t%s\t%.0f\t%s\t%s\n", t.Service, t.Name, t.Addr, t.Domain,
			t.State, t.Demand, slots, warmupLeft, t.LastHeartbeatMs, ejectionLeft, t.Why)
	}
}

// objectives prints the service-level objectives, summed over all proxies that respond.
func (c *cli) objectives() int {
	got, err := c.call(request{method: http.MethodGet, path: "/v1/roster"})
	if err != nil || got.status != http.StatusOK {
		return c.printResult(got, err, nil)
	}
	daemons, _ := parseDaemons(got.body)
	sums := map[string]*dataplane.ObjectiveView{}
	for _, daemon := range daemons {
		if daemon.Kind != wire.ProxyDaemon {
			continue
		}
		counted, err := proxyObjectives(daemon.HTTP)
		if err != nil {
			fmt.Fprintf(os.Stderr, "mfctl: proxy %s omitted: %v\n", daemon.Name, err)
			continue
		}
		for _, objective := range counted {
			if sum := sums[objective.Name]; sum != nil {
				sum.Good, sum.Total = sum.Good+objective.Good, sum.Total+objective.Total
			} else {
				sums[objective.Name] = &objective
			}
		}
	}
	if c.json {
		printJSON(sums)
	} else {
		printObjectives(sums)
	}
	return exitOK
}

// proxyObjectives returns the objectives as counted by one proxy.
func proxyObjectives(proxy string) ([]dataplane.ObjectiveView, error) {
	got, err := httpClient.Get("http://" + proxy + "/v1/status")
	if err != nil {
		return nil, err
	}
	defer got.Body.Close()
	var view dataplane.View
	err = json.NewDecoder(got.Body).Decode(&view)
	return view.Objectives, err
}

func printObjectives(sums map[string]*dataplane.ObjectiveView) {
	table := newTable()
	defer table.Flush()
	fmt.Fprintln(table, "OBJECTIVE\tSERVICE\tWINDOW MIN\tLATENCY MS\tTARGET\tACHIEVED\tREQUESTS\tERROR BUDGET LEFT")
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		sum := sums[name]
		achieved, budgetLeft := "-", "-"
		if sum.Total > 0 {
			missed, allowed := float64(sum.Total-sum.Good), float64(sum.Total)*(1-sum.SuccessRatio)
			achieved = fmt.Sprintf("%.4f", float64(sum.Good)/float64(sum.Total))
			budgetLeft = fmt.Sprintf("%.0f %%", 100*(1-missed/allowed))
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%g\t%s\t%d\t%s\n", name, sum.Service, sum.WindowMinutes, sum.LatencyTargetMs,
			sum.SuccessRatio, achieved, sum.Total, budgetLeft)
	}
}
