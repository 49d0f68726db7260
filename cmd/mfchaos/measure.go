// This file measures a fleet on one machine.

package main

import (
	"bytes"
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
)

// measure prints what is written in the docs.
func (l *lab) measure(rounds int) int {
	l.rnd = rand.New(rand.NewPCG(1, 2))
	var force, death, direct, carried, ratio []float64
	for range rounds {
		b := l.revision()
		t := time.Now()
		resp, err := l.put(b)
		if err != nil || resp != 200 {
			fmt.Println("put:", resp, err)
			return 1
		}
		force = append(force, time.Since(t).Seconds()*1000)
	}
	l.say("PUT to in force on %d proxies, ms: %s", len(l.gates), spread(force))
	for range rounds {
		p := l.some(l.stubs)
		var last time.Duration
		p.kill()
		t := time.Now()
		for time.Since(t) < 4*time.Second {
			opened := l.dials(p)
			if opened != "out" {
				last = time.Since(t)
			}
			time.Sleep(10 * time.Millisecond)
		}
		death = append(death, last.Seconds()*1000)
		l.again(p)
		l.serving(10 * time.Second)
	}
	l.say("target's death to its bar on the last proxy, ms: %s", spread(death))
	s := l.stubs[0]
	for range rounds {
		d := l.pings("http://"+s.http, s.service, 300)
		c := l.pings("http://"+l.gates[0].listen, s.service, 300)
		direct, carried, ratio = append(direct, d), append(carried, c), append(ratio, c/d)
	}
	l.say("median exchange without work, ms: straight to a back end %s, through a proxy %s, ratio pair by pair %s", spread(direct), spread(carried), spread(ratio))
	return 0
}

// policies shows what a shipped policy changes on real requests. It is put in
// force a quarter into the second load, so that the switch itself is seen too.
func (l *lab) policies(phase time.Duration) int {
	bad := 0
	rec, err := os.Create(l.path("events.jsonl"))
	if err != nil {
		fmt.Println(err)
		return 1
	}
	stream := exec.Command(filepath.Join(l.bin, "mfctl"), "stream")
	stream.Env = append(os.Environ(), "MFCTL_AT="+l.at())
	stream.Stdout = rec
	if err := stream.Start(); err != nil {
		fmt.Println(err)
		return 1
	}
	for _, c := range []struct{ policy, mode string }{{"failing", "fail"}, {"slow", "slow:900ms"}} {
		for _, with := range []bool{false, true} {
			l.mode(l.stubs[0], c.mode)
			if with {
				go func() {
					time.Sleep(phase / 4)
					out, code := l.ctl(nil, "policy", "put", c.policy, filepath.Join("sample", "policies", c.policy+".json"), "--base", strconv.Itoa(l.revision()))
					l.say("put %s: exit code %d %s", c.policy, code, strings.TrimSpace(out))
				}()
			}
			out, _ := exec.Command(filepath.Join(l.bin, "mfload"), l.loadArgs(l.dep.Rate, phase)...).Output()
			var rep struct {
				Offered, Served, Refused, Unknown, Wrong int
				Twice                                    int                `json:"ran_twice"`
				NoAnswer                                 int                `json:"no_answer"`
				Ms                                       map[string]float64 `json:"latency_ms"`
			}
			json.Unmarshal(out, &rep)
			bad += rep.Wrong + rep.Twice + rep.NoAnswer
			l.say("%s is '%s', policy %s in force %v: offered %d, served %d, failed %d, refused %d, no answer %d, p50 %.0f p99 %.0f ms", l.stubs[0].name, c.mode, c.policy, with,
				rep.Offered, rep.Served, rep.Unknown, rep.Refused, rep.NoAnswer, rep.Ms["p50"], rep.Ms["p99"])
		}
		l.mode(l.stubs[0], "ok")
		l.ctl(nil, "policy", "remove", c.policy, "--base", strconv.Itoa(l.revision()))
	}
	stream.Process.Signal(syscall.SIGTERM)
	stream.Wait()
	rec.Close()
	files, _ := filepath.Glob("sample/policies/*.json")
	out, code := l.ctl(nil, append([]string{"policy", "compare", "--events", l.path("events.jsonl")}, files...)...)
	fmt.Print(out)
	return min(bad+code, 1)
}

// overload shows goodput, refusals and recovery as demand goes past what is borne,
// and what reaches targets that come back cold.
func (l *lab) overload(phase time.Duration) int {
	bad := 0
	load := func(rate float64) (rep struct {
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
	}) {
		out, err := exec.Command(filepath.Join(l.bin, "mfload"), l.loadArgs(rate, phase)...).Output()
		if err != nil {
			bad++
		}
		json.Unmarshal(out, &rep)
		return rep
	}
	l.say("%8s %8s %8s %8s %8s %9s %9s %9s  retry-after", "rate", "offered", "goodput", "refused", "unknown", "p50 ms", "p99 ms", "refuse ms")
	row := func(rate float64) {
		r := load(rate)
		l.say("%8.0f %8d %8.1f %8d %8d %9.1f %9.1f %9.1f  %v", rate, r.Offered, r.Goodput, r.Refused, r.Unknown, r.Ms["p50"], r.Ms["p99"], r.Refusal, r.RetryAfter)
		for _, k := range []string{"polite", "at_once"} {
			g := r.Groups[k]
			l.say("%26s: %d user agents asked %d times, %d served, p50 %.0f p99 %.0f ms", k, g.Agents, g.Asked, g.Served, g.Ms["p50"], g.Ms["p99"])
		}
	}
	for _, x := range []float64{0.5, 0.9, 1, 2, 0.5} {
		row(l.dep.Rate * x)
	}
	l.say("the whole service restarts cold under its full rate; each target bears 1 exchange while it warms")
	done := make(chan struct{})
	go func() {
		time.Sleep(phase / 4)
		for i, p := range l.stubs {
			p.kill()
			*p = *l.stub(l.dep.Services[0], p.name, p.addr, p.domain, "3s")
			l.again(l.stubs[i])
		}
		close(done)
	}()
	row(l.dep.Rate)
	<-done
	most := 0
	files, _ := filepath.Glob(l.path("ledger", "*.ledger"))
	for _, f := range files {
		b, _ := os.ReadFile(f)
		for line := range bytes.Lines(b) {
			var e struct {
				State  string
				InWork int `json:"in_work"`
			}
			if json.Unmarshal(line, &e) == nil && e.State == "warming" {
				most = max(most, e.InWork)
			}
		}
	}
	l.say("most exchanges at once at a warming target: %d", most)
	if l.routes {
		l.checkCold()
		bad += l.broken["cold rate"]
	}
	if most > 2 {
		bad++
	}
	return min(bad, 1)
}

// dials says whether any proxy would still choose p.
func (l *lab) dials(p *proc) string {
	for _, g := range l.gates {
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
			if t.Name == p.name && t.BarMs == 0 && t.OwnBarMs == 0 {
				return "in"
			}
		}
	}
	return "out"
}

func (l *lab) pings(base, svc string, n int) float64 {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	var ms []float64
	for range n {
		req, _ := http.NewRequest("GET", base+"/"+svc+"/x", nil)
		req.Header.Set("Stub-Work-Ms", "0")
		t := time.Now()
		resp, err := c.Do(req)
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

func spread(l []float64) string {
	s := slices.Clone(l)
	slices.Sort(s)
	return fmt.Sprintf("median %.2f (min %.2f, max %.2f, n %d)", s[len(s)/2], s[0], s[len(s)-1], len(s))
}
