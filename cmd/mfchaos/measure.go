// This file measures latencies, overload behaviour and the effect of policies on a fleet.

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"myrtlefold/internal/shared/wire"
)

// measureLatencies prints the times that the README states: from sending a configuration until it is in force, from a target's
// crash until the last proxy ejects it, and the latency of requests through a proxy compared with direct ones.
func (f *fleet) measureLatencies(rounds int) int {
	f.random = rand.New(rand.NewPCG(1, 2))
	var inForceMs, ejectionMs, directMs, proxiedMs, ratios []float64
	for range rounds {
		base := f.revision()
		t := time.Now()
		status, err := f.putOverHTTP(base)
		if err != nil || status != http.StatusOK {
			fmt.Printf("mfchaos: PUT /v1/config on revision %d: status %d, error %v\n", base, status, err)
			return 1
		}
		inForceMs = append(inForceMs, time.Since(t).Seconds()*1000)
	}
	f.logf("ms from PUT until in force on %d proxies: %s", len(f.proxies), summarize(inForceMs))
	for range rounds {
		p := f.pickRunning(f.backends)
		var last time.Duration
		p.kill()
		t := time.Now()
		for time.Since(t) < 4*time.Second {
			if f.isEligible(p) {
				last = time.Since(t)
			}
			time.Sleep(10 * time.Millisecond)
		}
		ejectionMs = append(ejectionMs, last.Seconds()*1000)
		f.restart(p)
		f.awaitServing(10 * time.Second)
	}
	f.logf("ms from a target's crash until the last proxy ejects it: %s", summarize(ejectionMs))
	s := f.backends[0]
	for range rounds {
		direct := f.medianLatency("http://"+s.http, s.service, 300)
		proxied := f.medianLatency("http://"+f.proxies[0].listen, s.service, 300)
		directMs, proxiedMs, ratios = append(directMs, direct), append(proxiedMs, proxied), append(ratios, proxied/direct)
	}
	f.logf("median ms of a request with a processing time of 0: directly to a back end %s, through a proxy %s, ratio of each pair %s", summarize(directMs), summarize(proxiedMs), summarize(ratios))
	return 0
}

// comparePolicies loads the fleet with a faulty target, first without and then with the shipped policy for that fault. The
// policy is added after a quarter of the second load, so that requests are also in flight during the change.
func (f *fleet) comparePolicies(phase time.Duration) int {
	failures := 0
	recording, err := os.Create(f.path("events.jsonl"))
	if err != nil {
		fmt.Println(err)
		return 1
	}
	stream := exec.Command(filepath.Join(f.bin, "mfctl"), "stream")
	stream.Env = append(os.Environ(), "MFCTL_AT="+f.controlHTTPAddresses())
	stream.Stdout = recording
	if err := stream.Start(); err != nil {
		fmt.Println(err)
		return 1
	}
	for _, c := range []struct{ policy, faultMode string }{{"failing", "fail"}, {"slow", "slow:900ms"}} {
		for _, withPolicy := range []bool{false, true} {
			f.setFaultMode(f.backends[0], c.faultMode)
			if withPolicy {
				go func() {
					time.Sleep(phase / 4)
					out, code := f.runCtl(nil, "policy", "put", c.policy, filepath.Join("sample", "policies", c.policy+".json"), "--base", strconv.Itoa(f.revision()))
					f.logf("put policy %s: exit code %d %s", c.policy, code, strings.TrimSpace(out))
				}()
			}
			out, _ := exec.Command(filepath.Join(f.bin, "mfload"), f.loadArgs(f.deployment.Rate, phase)...).Output()
			var report struct {
				Offered, Served, Refused, Unknown, Wrong int
				RanTwice                                 int                `json:"ran_twice"`
				Unanswered                               int                `json:"no_answer"`
				LatencyMs                                map[string]float64 `json:"latency_ms"`
			}
			json.Unmarshal(out, &report)
			failures += report.Wrong + report.RanTwice + report.Unanswered
			f.logf("%s has fault mode %s, with policy %s: %v; offered %d, served %d, unknown %d, rejected %d, unanswered %d, p50 %.0f p99 %.0f ms", f.backends[0].name, c.faultMode, c.policy, withPolicy,
				report.Offered, report.Served, report.Unknown, report.Refused, report.Unanswered, report.LatencyMs["p50"], report.LatencyMs["p99"])
		}
		f.setFaultMode(f.backends[0], "ok")
		f.runCtl(nil, "policy", "remove", c.policy, "--base", strconv.Itoa(f.revision()))
	}
	stream.Process.Signal(syscall.SIGTERM)
	stream.Wait()
	recording.Close()
	files, _ := filepath.Glob("sample/policies/*.json")
	out, code := f.runCtl(nil, append([]string{"policy", "compare", "--events", f.path("events.jsonl")}, files...)...)
	fmt.Print(out)
	return min(failures+code, 1)
}

// loadReport is the part of mfload's report that is printed.
type loadReport struct {
	Offered, Served, Refused, Unknown int
	Goodput                           float64            `json:"goodput_per_s"`
	RejectionMedianMs                 float64            `json:"refusal_median_ms"`
	LatencyMs                         map[string]float64 `json:"latency_ms"`
	RetryAfter                        map[string]int     `json:"retry_after"`
	Groups                            map[string]struct {
		Clients   int                `json:"user_agents"`
		Requests  int                `json:"asked"`
		Served    int                `json:"user_agents_served"`
		LatencyMs map[string]float64 `json:"latency_ms"`
	} `json:"groups"`
}

// runLoad runs mfload with a rate in requests per second and prints its results as a row. It returns mfload's error.
func (f *fleet) runLoad(rate float64, phase time.Duration) error {
	out, err := exec.Command(filepath.Join(f.bin, "mfload"), f.loadArgs(rate, phase)...).Output()
	var report loadReport
	json.Unmarshal(out, &report)
	f.logf("%8.0f %8d %8.1f %8d %8d %9.1f %9.1f %9.1f  %v", rate, report.Offered, report.Goodput, report.Refused, report.Unknown,
		report.LatencyMs["p50"], report.LatencyMs["p99"], report.RejectionMedianMs, report.RetryAfter)
	for _, name := range []string{"polite", "at_once"} {
		group := report.Groups[name]
		f.logf("%26s: %d clients sent %d requests, %d clients were served, p50 %.0f p99 %.0f ms", name, group.Clients, group.Requests, group.Served, group.LatencyMs["p50"], group.LatencyMs["p99"])
	}
	return err
}

// warmingRequestsMax is the allowed number of concurrent requests at a target in the state warming: its cap of 1, and one
// request that is already on its way.
const warmingRequestsMax = 2

// runOverload prints goodput and rejections while the load rises above the fleet's capacity and falls again. Then it restarts
// all back ends under load and checks that those in the state warming get few concurrent requests.
func (f *fleet) runOverload(phase time.Duration) int {
	failures := 0
	load := func(rate float64) {
		if f.runLoad(rate, phase) != nil {
			failures++
		}
	}
	f.logf("%8s %8s %8s %8s %8s %9s %9s %9s  retry-after", "rate", "offered", "goodput", "rejected", "unknown", "p50 ms", "p99 ms", "reject ms")
	for _, part := range []float64{0.5, 0.9, 1, 2, 0.5} {
		load(f.deployment.Rate * part)
	}
	f.logf("all back ends of the service restart under its full rate; each takes 1 concurrent request while it is warming")
	restarted := make(chan struct{})
	go func() {
		time.Sleep(phase / 4)
		f.restartService()
		close(restarted)
	}()
	load(f.deployment.Rate)
	<-restarted
	highest := int64(0)
	for _, entry := range f.requestLog() {
		if entry.State == wire.TargetWarming {
			highest = max(highest, entry.RequestsInFlight)
		}
	}
	f.logf("highest number of concurrent requests at a warming target: %d", highest)
	if f.routes {
		f.checkWarmupRate()
		failures += f.violations[ruleWarmupRate]
	}
	if highest > warmingRequestsMax {
		failures++
	}
	return min(failures, 1)
}

// restartService kills all back ends and starts them again in the state warming.
func (f *fleet) restartService() {
	for i, p := range f.backends {
		p.kill()
		*p = *f.newBackend(f.deployment.Services[0], p.name, p.addr, p.domain, "3s")
		f.restart(f.backends[i])
	}
}

// isEligible reports whether any proxy lists a target as not ejected.
func (f *fleet) isEligible(target *process) bool {
	for _, proxy := range f.proxies {
		var v struct {
			Targets []struct {
				Service, Name     string
				EjectionLeftMs    int64 `json:"bar_left_ms"`
				OwnEjectionLeftMs int64 `json:"own_bar_left_ms"`
			}
		}
		_, b := httpGet("http://" + proxy.http + "/v1/status")
		json.Unmarshal(b, &v)
		for _, t := range v.Targets {
			if t.Name == target.name && t.EjectionLeftMs == 0 && t.OwnEjectionLeftMs == 0 {
				return true
			}
		}
	}
	return false
}

// medianLatency sends requests with a processing time of 0 to a service, one after the other, and returns the median latency in ms.
func (f *fleet) medianLatency(base, service string, count int) float64 {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	var ms []float64
	for range count {
		req, _ := http.NewRequest("GET", base+"/"+service+"/x", nil)
		req.Header.Set("Stub-Work-Ms", "0")
		t := time.Now()
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		ms = append(ms, time.Since(t).Seconds()*1000)
	}
	slices.Sort(ms)
	return ms[len(ms)/2]
}

// summarize formats the median, minimum and maximum of some values.
func summarize(values []float64) string {
	s := slices.Clone(values)
	slices.Sort(s)
	return fmt.Sprintf("median %.2f (min %.2f, max %.2f, n %d)", s[len(s)/2], s[0], s[len(s)-1], len(s))
}
