// This file measures a fleet on one machine.

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"myrtlefold/internal/shared/wire"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// measure prints what is written in the docs.
func (f *fleet) measure(rounds int) int {
	f.random = rand.New(rand.NewPCG(1, 2))
	var force, death, direct, carried, ratio []float64
	for range rounds {
		b := f.revision()
		t := time.Now()
		resp, err := f.put(b)
		if err != nil || resp != 200 {
			fmt.Println("put:", resp, err)
			return 1
		}
		force = append(force, time.Since(t).Seconds()*1000)
	}
	f.logf("PUT to in force on %d proxies, ms: %s", len(f.proxies), spread(force))
	for range rounds {
		p := f.pickRunning(f.backends)
		var last time.Duration
		p.kill()
		t := time.Now()
		for time.Since(t) < 4*time.Second {
			opened := f.choiceOf(p)
			if opened != "out" {
				last = time.Since(t)
			}
			time.Sleep(10 * time.Millisecond)
		}
		death = append(death, last.Seconds()*1000)
		f.restart(p)
		f.awaitServing(10 * time.Second)
	}
	f.logf("target's death to its bar on the last proxy, ms: %s", spread(death))
	s := f.backends[0]
	for range rounds {
		d := f.medianLatency("http://"+s.http, s.service, 300)
		c := f.medianLatency("http://"+f.proxies[0].listen, s.service, 300)
		direct, carried, ratio = append(direct, d), append(carried, c), append(ratio, c/d)
	}
	f.logf("median exchange without work, ms: straight to a back end %s, through a proxy %s, ratio pair by pair %s", spread(direct), spread(carried), spread(ratio))
	return 0
}

// policies shows what a shipped policy changes on real requests. It is put in
// force a quarter into the second load, so that the switch itself is seen too.
func (f *fleet) policies(phase time.Duration) int {
	bad := 0
	rec, err := os.Create(f.path("events.jsonl"))
	if err != nil {
		fmt.Println(err)
		return 1
	}
	stream := exec.Command(filepath.Join(f.bin, "mfctl"), "stream")
	stream.Env = append(os.Environ(), "MFCTL_AT="+f.controlAddresses())
	stream.Stdout = rec
	if err := stream.Start(); err != nil {
		fmt.Println(err)
		return 1
	}
	for _, c := range []struct{ policy, mode string }{{"failing", "fail"}, {"slow", "slow:900ms"}} {
		for _, with := range []bool{false, true} {
			f.setMode(f.backends[0], c.mode)
			if with {
				go func() {
					time.Sleep(phase / 4)
					out, code := f.ctl(nil, "policy", "put", c.policy, filepath.Join("sample", "policies", c.policy+".json"), "--base", strconv.Itoa(f.revision()))
					f.logf("put %s: exit code %d %s", c.policy, code, strings.TrimSpace(out))
				}()
			}
			out, _ := exec.Command(filepath.Join(f.bin, "mfload"), f.loadArgs(f.deployment.Rate, phase)...).Output()
			var rep struct {
				Offered, Served, Refused, Unknown, Wrong int
				Twice                                    int                `json:"ran_twice"`
				NoAnswer                                 int                `json:"no_answer"`
				Ms                                       map[string]float64 `json:"latency_ms"`
			}
			json.Unmarshal(out, &rep)
			bad += rep.Wrong + rep.Twice + rep.NoAnswer
			f.logf("%s is '%s', policy %s in force %v: offered %d, served %d, failed %d, refused %d, no answer %d, p50 %.0f p99 %.0f ms", f.backends[0].name, c.mode, c.policy, with,
				rep.Offered, rep.Served, rep.Unknown, rep.Refused, rep.NoAnswer, rep.Ms["p50"], rep.Ms["p99"])
		}
		f.setMode(f.backends[0], "ok")
		f.ctl(nil, "policy", "remove", c.policy, "--base", strconv.Itoa(f.revision()))
	}
	stream.Process.Signal(syscall.SIGTERM)
	stream.Wait()
	rec.Close()
	files, _ := filepath.Glob("sample/policies/*.json")
	out, code := f.ctl(nil, append([]string{"policy", "compare", "--events", f.path("events.jsonl")}, files...)...)
	fmt.Print(out)
	return min(bad+code, 1)
}

// loadReport is what mfload prints of one load.
type loadReport struct {
	Offered, Served, Refused, Unknown int
	Goodput                           float64            `json:"goodput_per_s"`
	Refusal                           float64            `json:"refusal_median_ms"`
	Ms                                map[string]float64 `json:"latency_ms"`
	RetryAfter                        map[string]int     `json:"retry_after"`
	Groups                            map[string]struct {
		Agents int                `json:"user_agents"`
		Asked  int                `json:"asked"`
		Served int                `json:"user_agents_served"`
		Ms     map[string]float64 `json:"latency_ms"`
	} `json:"groups"`
}

// printLoad runs one load and prints a row of what came of it.
func (f *fleet) printLoad(rate float64, phase time.Duration) error {
	out, err := exec.Command(filepath.Join(f.bin, "mfload"), f.loadArgs(rate, phase)...).Output()
	var report loadReport
	json.Unmarshal(out, &report)
	f.logf("%8.0f %8d %8.1f %8d %8d %9.1f %9.1f %9.1f  %v", rate, report.Offered, report.Goodput, report.Refused, report.Unknown,
		report.Ms["p50"], report.Ms["p99"], report.Refusal, report.RetryAfter)
	for _, name := range []string{"polite", "at_once"} {
		group := report.Groups[name]
		f.logf("%26s: %d user agents asked %d times, %d served, p50 %.0f p99 %.0f ms", name, group.Agents, group.Asked, group.Served, group.Ms["p50"], group.Ms["p99"])
	}
	return err
}

// warmingRequestsMax is how many requests at once a warming target may get at the most: its cap, and one that is on its way.
const warmingRequestsMax = 2

// overload shows goodput, rejections and recovery as demand goes past what the fleet can serve, and what reaches
// targets that come back while they warm up.
func (f *fleet) overload(phase time.Duration) int {
	failures := 0
	load := func(rate float64) {
		if f.printLoad(rate, phase) != nil {
			failures++
		}
	}
	f.logf("%8s %8s %8s %8s %8s %9s %9s %9s  retry-after", "rate", "offered", "goodput", "refused", "unknown", "p50 ms", "p99 ms", "refuse ms")
	for _, part := range []float64{0.5, 0.9, 1, 2, 0.5} {
		load(f.deployment.Rate * part)
	}
	f.logf("the whole service restarts cold under its full rate; each target bears 1 exchange while it warms")
	restarted := make(chan struct{})
	go func() {
		time.Sleep(phase / 4)
		f.restartService()
		close(restarted)
	}()
	load(f.deployment.Rate)
	<-restarted
	most := int64(0)
	for _, entry := range f.requestLog() {
		if entry.State == wire.TargetWarming {
			most = max(most, entry.RequestsInFlight)
		}
	}
	f.logf("most exchanges at once at a warming target: %d", most)
	if f.routes {
		f.checkWarmupRate()
		failures += f.violations["cold rate"]
	}
	if most > warmingRequestsMax {
		failures++
	}
	return min(failures, 1)
}

// restartService kills all back ends and starts them again, warming up.
func (f *fleet) restartService() {
	for i, p := range f.backends {
		p.kill()
		*p = *f.newBackend(f.deployment.Services[0], p.name, p.addr, p.domain, "3s")
		f.restart(f.backends[i])
	}
}

// choiceOf says whether any proxy would still choose a target: "in" or "out".
func (f *fleet) choiceOf(target *process) string {
	for _, g := range f.proxies {
		var v struct {
			Targets []struct {
				Service, Name string
				BarMs         int64 `json:"bar_left_ms"`
				OwnBarMs      int64 `json:"own_bar_left_ms"`
			}
		}
		_, b := get("http://" + g.http + "/v1/status")
		json.Unmarshal(b, &v)
		for _, t := range v.Targets {
			if t.Name == target.name && t.BarMs == 0 && t.OwnBarMs == 0 {
				return "in"
			}
		}
	}
	return "out"
}

func (f *fleet) medianLatency(base, svc string, count int) float64 {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	var ms []float64
	for range count {
		req, _ := http.NewRequest("GET", base+"/"+svc+"/x", nil)
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

func spread(values []float64) string {
	s := slices.Clone(values)
	slices.Sort(s)
	return fmt.Sprintf("median %.2f (min %.2f, max %.2f, n %d)", s[len(s)/2], s[0], s[len(s)-1], len(s))
}
