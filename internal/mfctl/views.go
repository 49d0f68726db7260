// This file is the operators' commands that show what there is.

package mfctl

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"myrtlefold/internal/controlplane"
	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/wire"
)

// status asks the members that are named and then those that the roster tells of.
func (c *ctl) status() int {
	tw := newTable()
	all := []json.RawMessage{}
	views := []controlplane.StatusView{}
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
		var s controlplane.StatusView
		if !c.json && json.Unmarshal(b, &s) == nil {
			views = append(views, s)
			fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", s.Name, s.Role, s.Leadership, s.Leader, s.Epoch, s.Term, s.Revision, s.Table.Version, s.Targets, s.Proxies, strings.Join(s.Emptied, ","))
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
		var r struct{ Daemons []controlplane.DaemonView }
		if b, err := c.view(answers, "/v1/roster"); err == nil && json.Unmarshal(b, &r) == nil {
			for _, d := range r.Daemons {
				if d.Kind == wire.ControlDaemon && !slices.Contains(c.at, d.HTTP) {
					ask(d.HTTP)
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
	if !c.json {
		coreText(os.Stdout, views)
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
	var r struct{ Daemons []controlplane.DaemonView }
	json.Unmarshal(out, &r)
	sums := map[string]*dataplane.ObjectiveView{}
	for _, d := range r.Daemons {
		if d.Kind != wire.ProxyDaemon {
			continue
		}
		resp, err := ctlClient.Get("http://" + d.HTTP + "/v1/status")
		if err != nil {
			fmt.Fprintf(os.Stderr, "mfctl: %s left out: %v\n", d.Name, err)
			continue
		}
		var v dataplane.View
		err = json.NewDecoder(resp.Body).Decode(&v)
		resp.Body.Close()
		if err != nil {
			fmt.Fprintf(os.Stderr, "mfctl: %s left out: %v\n", d.Name, err)
			continue
		}
		for _, a := range v.Objectives {
			if s := sums[a.Name]; s != nil {
				s.Good, s.Total = s.Good+a.Good, s.Total+a.Total
			} else {
				sums[a.Name] = &a
			}
		}
	}
	if c.json {
		json.NewEncoder(os.Stdout).Encode(sums)
		return exitOK
	}
	tw := newTable()
	fmt.Fprintln(tw, "AIM\tSERVICE\tWINDOW MIN\tUNDER MS\tAIM\tMET\tEXCHANGES\tLEFT OF WHAT MAY MISS")
	for _, n := range slices.Sorted(maps.Keys(sums)) {
		s := sums[n]
		met, left := "-", "-"
		if s.Total > 0 {
			met = fmt.Sprintf("%.4f", float64(s.Good)/float64(s.Total))
			left = fmt.Sprintf("%.0f %%", 100*(1-float64(s.Total-s.Good)/(float64(s.Total)*(1-s.SuccessRatio))))
		}
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%g\t%s\t%d\t%s\n", n, s.Service, s.WindowMinutes, s.LatencyTargetMs, s.SuccessRatio, met, s.Total, left)
	}
	tw.Flush()
	return exitOK
}

func rosterText(b []byte) {
	var v struct{ Daemons []controlplane.DaemonView }
	json.Unmarshal(b, &v)
	tw := newTable()
	fmt.Fprintln(tw, "NAME\tKIND\tDOMAIN\tADDRESS\tHTTP\tREADY\tSTATE\tPLACE\tHEARD MS\tTABLE\tINCARNATION")
	for _, d := range v.Daemons {
		place := "-"
		if d.Member {
			place = "member"
		} else if d.ProxyMember {
			place = "roster"
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%v\t%s\t%s\t%.0f\t%d\t%x\n", d.Name, d.Kind, d.Domain, d.Addr, d.HTTP, d.Ready, d.State, place, d.LastContactMs, d.TableVersion, d.Incarnation)
	}
	tw.Flush()
}

func targetsText(b []byte) {
	var v struct{ Targets []controlplane.TargetView }
	json.Unmarshal(b, &v)
	tw := newTable()
	fmt.Fprintln(tw, "SERVICE\tNAME\tADDRESS\tDOMAIN\tSTATE\tDEMAND\tSLOTS\tCOLD LEFT\tBEAT MS\tBAR LEFT\tWHY")
	for _, t := range v.Targets {
		bar := "-"
		if t.Ejection != "" {
			bar = fmt.Sprintf("%.1fs", float64(t.EjectionLeftMs)/1000)
		}
		slots, cold := "-", "-"
		if t.Slots > 0 {
			slots = fmt.Sprint(t.Slots)
		}
		if t.WarmupLeft > 0 {
			cold = fmt.Sprintf("%.1fs", time.Duration(t.WarmupLeft).Seconds())
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%.2f\t%s\t%s\t%.0f\t%s\t%s\n", t.Service, t.Name, t.Addr, t.Domain, t.State, t.Demand, slots, cold, t.LastHeartbeatMs, bar, t.Why)
	}
	tw.Flush()
}

func policiesText(b []byte) {
	var v struct {
		Revision uint64
		Since    float64 `json:"since_ms"`
		Policies map[string]outlier.PolicyStats
	}
	json.Unmarshal(b, &v)
	tw := newTable()
	fmt.Fprintf(tw, "revision %d, scores of the last %.0f s\nNAME\tMODE\tSLICE\tDECIDES\tTTL MS\tEVALUATED\tFAILED\tOUT\tBARS\tWRONG\tERRORS\tMISSED\tTO BAR MS\tWHEN\tLAST ERROR\n", v.Revision, v.Since/1000)
	for _, n := range slices.Sorted(maps.Keys(v.Policies)) {
		s := v.Policies[n]
		x := outlier.Score{}
		if s.Score != nil {
			x = *s.Score
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%s\t%s\n", n, s.Policy.Mode, s.Policy.Slice, s.Policy.Decide, s.Policy.TTLMs, s.Evaluated, s.Failed, s.TargetsOut,
			x.Ejections, x.WrongEjections, x.Errors, x.MissedErrors, x.TimeToEjectMs, s.Policy.When, s.Error)
	}
	tw.Flush()
}
