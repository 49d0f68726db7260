// This file is a process of hollow proxies or targets: real state machines that share one process and carry no
// requests.

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"myrtlefold/internal/daemon"
	"myrtlefold/internal/dataplane"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

type hollowReport struct {
	Gates, Granted, Orphan, Cut int
	At                          int // hold the revision asked for, or a later one
	Out                         int // would not choose the target asked for
	Usable                      int // fewest targets that one of them may choose
	Flows                       []daemon.Flow
	Words, Failed               uint64
	In, Sent                    uint64 // bytes, targets only
}

func (r *hollowReport) add(o hollowReport) {
	if r.Gates == 0 || o.Gates > 0 && o.Usable < r.Usable {
		r.Usable = o.Usable
	}
	r.Gates, r.Granted, r.Orphan, r.Cut, r.At, r.Out = r.Gates+o.Gates, r.Granted+o.Granted, r.Orphan+o.Orphan, r.Cut+o.Cut, r.At+o.At, r.Out+o.Out
	r.Words, r.Failed, r.In, r.Sent = r.Words+o.Words, r.Failed+o.Failed, r.In+o.In, r.Sent+o.Sent
	r.Flows = append(r.Flows, o.Flows...)
}

// standing is what a gate shows of itself; asking its owner would wait behind its work.
type standing struct {
	state    dataplane.State
	revision uint64
	table    *wire.Table
}

type hollowGate struct {
	h   *daemon.Host
	own *dataplane.Proxy
	now atomic.Pointer[standing]
}

func (g *hollowGate) step(now time.Duration, ev any) []any {
	out := g.own.Step(now, ev)
	if s := (standing{g.own.State(), g.own.Revision(), g.own.Table()}); s != *g.now.Load() {
		g.now.Store(&s)
	}
	return out
}

// look adds one gate's standing to a report.
func (r *hollowReport) look(s *standing, want uint64, service, name string) {
	r.Gates++
	switch s.state {
	case dataplane.Granted:
		r.Granted++
	case dataplane.PeerServing:
		r.Orphan++
	case dataplane.Isolated:
		r.Cut++
	}
	if s.revision >= want && want > 0 {
		r.At++
	}
	usable, out := 0, true
	if t := s.table; t != nil {
		for i := range t.Targets {
			if w := &t.Targets[i]; !w.Held && w.BarLeft == 0 && !w.Pending {
				usable++
				out = out && (w.Service != service || w.Name != name)
			}
		}
	}
	if out {
		r.Out++
	}
	if r.Gates == 1 || usable < r.Usable {
		r.Usable = usable
	}
}

func runPart(f *hollowFlags) int {
	runtime.GOMAXPROCS(runtime.NumCPU()) // what bounds the daemons must not bound those who ask them
	var mux *http.ServeMux
	var err error
	if f.part == "gates" {
		mux, err = hollowGates(f)
	} else {
		mux, err = hollowTargets(f)
	}
	if err == nil {
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
		err = http.ListenAndServe(f.control, mux)
	}
	fmt.Fprintln(os.Stderr, "mfchaos:", err)
	return 1
}

func hollowGates(f *hollowFlags) (*http.ServeMux, error) {
	log := logrus.New()
	log.SetLevel(logrus.WarnLevel)
	var gs []*hollowGate
	for i := f.first; i < f.first+f.count; i++ {
		s := gateSettings(f.net, i, strings.Split(f.seeds, ","))
		h := daemon.New("gate", s, log)
		g := &hollowGate{h: h, own: dataplane.New(dataplane.Settings{Self: h.Daemon(), Seeds: s.Seeds})}
		g.now.Store(&standing{})
		gs = append(gs, g)
	}
	start := func(g *hollowGate) {
		if err := g.h.Listen(); err != nil {
			g.h.Fatal(err, "hollow gate")
		}
		go g.h.Loop.Run(g.step, func(cmd any) {
			if _, pipes := cmd.(dataplane.Targets); !pipes {
				g.h.Do(cmd)
			}
		})
	}
	go func() {
		for _, g := range gs {
			start(g)
			if f.ramp > 0 {
				time.Sleep(time.Second / time.Duration(f.ramp))
			}
		}
	}()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		want, _ := strconv.ParseUint(q.Get("revision"), 10, 64)
		var rep hollowReport
		for _, g := range gs {
			rep.look(g.now.Load(), want, q.Get("service"), q.Get("name"))
			rep.Flows = append(rep.Flows, g.h.Traffic.Flows()...)
		}
		daemon.WriteJSON(w, 200, rep)
	})
	return mux, nil
}

func gateSettings(net, i int, seeds []string) daemon.Settings {
	ip := hollowIP(net, gateBlock, i)
	return daemon.Settings{Name: fmt.Sprintf("gate-%04d", i), Domain: hollowDomain(i), Addr: ip + ":7001", HTTP: ip + ":7101", Listen: ip + ":7201", From: ip, Seeds: seeds, Log: "info"}
}

// hollowBack is one hollow target.
type hollowBack struct {
	service, name, addr, domain string
	inc                         uint64
	leaves, hangs               atomic.Bool
	client                      *http.Client
}

func (t *hollowBack) beat() config.Beat {
	s, d := config.Ready, 0.25
	if t.leaves.Load() {
		s = config.Leaving
	}
	return config.Beat{Service: t.service, Name: t.name, Incarnation: t.inc, Address: t.addr, Domain: t.domain, State: s, Demand: &d}
}

func (t *hollowBack) tell(daemon string) bool {
	b, _ := json.Marshal(t.beat())
	resp, err := t.client.Post("http://"+daemon+"/v1/targets", "application/json", bytes.NewReader(b))
	if err != nil {
		return false
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode < 300
}

// counted is a connection whose bytes are counted.
type counted struct {
	net.Conn
	in, out *atomic.Uint64
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(uint64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(uint64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	in, out *atomic.Uint64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return counted{c, l.in, l.out}, err
}

func hollowTargets(f *hollowFlags) (*http.ServeMux, error) {
	var words, failed, in, sent atomic.Uint64
	daemons := strings.Split(f.seeds, ",")
	all, _ := strconv.Atoi(f.targets)
	var ts []*hollowBack
	for i := f.first; i < f.first+f.count; i++ {
		ip := hollowIP(f.net, targetBlock, i)
		t := &hollowBack{addr: ip + ":7301", domain: hollowDomain(i), inc: uint64(time.Now().UnixNano())}
		t.service, t.name = hollowTarget(i, all)
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
		t.client = &http.Client{Timeout: tuning.BeatEvery, Transport: &http.Transport{DialContext: func(ctx context.Context, n, a string) (net.Conn, error) {
			c, err := d.DialContext(ctx, n, a)
			if err != nil {
				return nil, err
			}
			return counted{c, &in, &sent}, nil
		}}}
		ln, err := net.Listen("tcp", t.addr)
		if err != nil {
			return nil, err
		}
		mux := http.NewServeMux()
		mux.HandleFunc("GET "+config.IdentityPath, func(w http.ResponseWriter, r *http.Request) {
			if t.hangs.Load() {
				<-r.Context().Done()
				return
			}
			daemon.WriteJSON(w, 200, t.beat())
		})
		go http.Serve(countedListener{ln, &in, &sent}, mux)
		ts = append(ts, t)
		go func() {
			time.Sleep(time.Duration(rand.Float64() * float64(f.beat)))
			tick := time.NewTicker(f.beat)
			for k := i; ; <-tick.C {
				if t.hangs.Load() {
					continue
				}
				if t.tell(daemons[k%len(daemons)]) {
					words.Add(1)
				} else {
					failed.Add(1)
					k++
				}
			}
		}()
	}
	at := func(r *http.Request) *hollowBack {
		i, _ := strconv.Atoi(r.URL.Query().Get("i"))
		return ts[i-f.first]
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		daemon.WriteJSON(w, 200, hollowReport{Words: words.Load(), Failed: failed.Load(), In: in.Load(), Sent: sent.Load()})
	})
	mux.HandleFunc("POST /leave", func(w http.ResponseWriter, r *http.Request) {
		t := at(r)
		t.leaves.Store(true)
		daemon.WriteJSON(w, 200, t.tell(daemons[t.inc%uint64(len(daemons))]))
	})
	mux.HandleFunc("POST /hang", func(w http.ResponseWriter, r *http.Request) {
		at(r).hangs.Store(true)
		daemon.WriteJSON(w, 200, true)
	})
	return mux, nil
}
