// This file measures what control costs at sizes that one machine could not carry as
// processes of their own. Hollow gates are gate owners, many to a process, each with an
// address of its own, that speak the daemons' real messages to real mfcore processes
// and carry no traffic; hollow targets, too, share a process, send their words and
// answer probes. The driver reads processor time and memory from /proc and messages
// from each side's counters, over a span in which nothing else happens, and then how
// long changes take. One real mfgate stands among the hollow ones for comparison.

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/pprof"
	"net/url"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"myrtlefold/host"
	"myrtlefold/limit"
	"myrtlefold/model"
	"myrtlefold/proxy"
	"myrtlefold/wire"
)

// Times and bounds of a run: each wait ends, whatever the fleet does.
const (
	hollowUp       = 20 * time.Second      // until all gates are granted and all targets usable
	hollowChange   = 12 * time.Second      // until a change or an ejection has reached all
	hollowPoll     = 10 * time.Millisecond // how often gates are looked at for that
	hollowPatience = 2 * time.Second       // for the answer of one hollow process
	hollowFreeze   = 3 * time.Second       // how long the core is frozen
	hollowSoon     = 1500 * time.Millisecond
	clockTicks     = 100 // of processor time a second, in /proc
)

type hollowFlags struct {
	gates, targets, routes, changes string
	cores, spares                   int
	gateProcs, targetProcs          int
	real, threads, runs, rounds     int
	net                             int
	settle, span, beat              time.Duration
	orphans, ramp                   int
	out                             string
	bytes                           bool
	// of a part
	part, seeds, control string
	first, count         int
}

func (f *hollowFlags) bind(cmd, part *kingpin.CmdClause) {
	cmd.Flag("gates", "how many gates; several sizes by commas").Default("12").StringVar(&f.gates)
	cmd.Flag("targets", "how many targets").Default("36").StringVar(&f.targets)
	cmd.Flag("route-count", "how many routes").Default("10").StringVar(&f.routes)
	cmd.Flag("changes", "configuration changes a second during the span").Default("0").StringVar(&f.changes)
	cmd.Flag("cores", "core members").Default("3").IntVar(&f.cores)
	cmd.Flag("spares", "core daemons beside the members").Default("1").IntVar(&f.spares)
	cmd.Flag("real", "how many of the gates are real processes").Default("1").IntVar(&f.real)
	cmd.Flag("gate-processes", "processes that the hollow gates share").Default("2").IntVar(&f.gateProcs)
	cmd.Flag("target-processes", "processes that the hollow targets share").Default("1").IntVar(&f.targetProcs)
	cmd.Flag("threads", "GOMAXPROCS of core members and real gates, 0: the runtime's own").Default("2").IntVar(&f.threads)
	cmd.Flag("runs", "how often each size is measured").Default("3").IntVar(&f.runs)
	cmd.Flag("rounds", "how often each change is timed within a run").Default("3").IntVar(&f.rounds)
	cmd.Flag("settle", "how long the fleet is left alone before it is measured").Default("2s").DurationVar(&f.settle)
	cmd.Flag("span", "how long it is measured").Default("4s").DurationVar(&f.span)
	for _, c := range []*kingpin.CmdClause{cmd, part} {
		c.Flag("beat", "how often each target sends its word").Default(limit.BeatEvery.String()).DurationVar(&f.beat)
	}
	cmd.Flag("orphans", "with up to so many gates also freeze the core and measure the gates meanwhile").Default("48").IntVar(&f.orphans)
	cmd.Flag("output", "text or json").Short('o').Default("text").EnumVar(&f.out, "text", "json")
	cmd.Flag("bytes", "only say how large configurations and tables of growing size are").BoolVar(&f.bytes)
	for _, c := range []*kingpin.CmdClause{cmd, part} {
		c.Flag("net", "second byte of the loopback addresses that are used, and the one after").Default("40").IntVar(&f.net)
	}
	for _, c := range []*kingpin.CmdClause{cmd, part} {
		c.Flag("ramp", "how many hollow gates start a second, 0: all at once").Default("0").IntVar(&f.ramp)
	}
	part.Flag("kind", "gates or targets").Required().EnumVar(&f.part, "gates", "targets")
	part.Flag("first", "first number").IntVar(&f.first)
	part.Flag("count", "how many").IntVar(&f.count)
	part.Flag("of", "how many targets there are in all").StringVar(&f.targets)
	part.Flag("daemons", "core members' addresses (gates) or HTTP addresses (targets), by commas").StringVar(&f.seeds)
	part.Flag("control", "address where the driver asks").StringVar(&f.control)
}

// ---- what stands where ----

// hollowIP is the i-th address of a block of a thousand; blocks are cores, controls, gates, targets.
func hollowIP(net, block, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", net+block/3, block%3*80+i/250, i%250+1)
}

const (
	coreBlock = iota
	controlBlock
	gateBlock
	targetBlock
)

var hollowDomains = []string{"hill", "port", "coast"}

func hollowDomain(i int) string { return hollowDomains[i%len(hollowDomains)] }

// hollowServices is how many services so many targets make.
func hollowServices(targets int) int { return max(1, targets/12) }

func hollowTarget(i, targets int) (service, name string) {
	return fmt.Sprintf("s-%03d", i%hollowServices(targets)), fmt.Sprintf("t-%04d", i)
}

// hollowConfig is a configuration with so many routes over the targets' services.
func hollowConfig(targets, routes int) []byte {
	c := model.Config{Services: map[string]model.Service{}, Rules: []model.Rule{}, Routes: map[string]model.Route{}}
	n := hollowServices(targets)
	for i := range n {
		c.Services[fmt.Sprintf("s-%03d", i)] = model.Service{Cap: 64, WarmCap: 4, TimeoutMs: 2000, BodyMax: limit.BodyMax, Tries: 2}
	}
	for i := range routes {
		c.Routes[hollowRoute(i)] = model.Route{Host: fmt.Sprintf("h%d.example", i%97), Prefix: fmt.Sprintf("/r%d/", i), Kind: model.Repeatable,
			TimeoutMs: 2000, AimMs: 200, Attempts: 2, Service: fmt.Sprintf("s-%03d", i%n)}
	}
	b, _ := json.Marshal(c)
	return b
}

func hollowRoute(i int) string { return fmt.Sprintf("r-%05d", i) }

// ---- a process of hollow gates or targets ----

type hollowReport struct {
	Gates, Granted, Orphan, Cut int
	At                          int // hold the revision asked for, or a later one
	Out                         int // would not choose the target asked for
	Usable                      int // fewest targets that one of them may choose
	Flows                       []host.Flow
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
	state    proxy.State
	revision uint64
	table    *wire.Table
}

type hollowGate struct {
	h   *host.Host
	own *proxy.Proxy
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
	case proxy.Granted:
		r.Granted++
	case proxy.PeerServing:
		r.Orphan++
	case proxy.Isolated:
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
	fmt.Fprintln(os.Stderr, "mflab:", err)
	return 1
}

func hollowGates(f *hollowFlags) (*http.ServeMux, error) {
	log := logrus.New()
	log.SetLevel(logrus.WarnLevel)
	var gs []*hollowGate
	for i := f.first; i < f.first+f.count; i++ {
		s := gateSettings(f.net, i, strings.Split(f.seeds, ","))
		h := host.New("gate", s, log)
		g := &hollowGate{h: h, own: proxy.New(proxy.Settings{Self: h.Daemon(), Seeds: s.Seeds})}
		g.now.Store(&standing{})
		gs = append(gs, g)
	}
	start := func(g *hollowGate) {
		if err := g.h.Listen(); err != nil {
			g.h.Fatal(err, "hollow gate")
		}
		go g.h.Loop.Run(g.step, func(cmd any) {
			if _, pipes := cmd.(proxy.Targets); !pipes {
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
		host.WriteJSON(w, 200, rep)
	})
	return mux, nil
}

func gateSettings(net, i int, seeds []string) host.Settings {
	ip := hollowIP(net, gateBlock, i)
	return host.Settings{Name: fmt.Sprintf("gate-%04d", i), Domain: hollowDomain(i), Addr: ip + ":7001", HTTP: ip + ":7101", Listen: ip + ":7201", From: ip, Seeds: seeds, Log: "info"}
}

// hollowBack is one hollow target.
type hollowBack struct {
	service, name, addr, domain string
	inc                         uint64
	leaves, hangs               atomic.Bool
	client                      *http.Client
}

func (t *hollowBack) beat() model.Beat {
	s, d := model.Ready, 0.25
	if t.leaves.Load() {
		s = model.Leaving
	}
	return model.Beat{Service: t.service, Name: t.name, Incarnation: t.inc, Address: t.addr, Domain: t.domain, State: s, Demand: &d}
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
		t.client = &http.Client{Timeout: limit.BeatEvery, Transport: &http.Transport{DialContext: func(ctx context.Context, n, a string) (net.Conn, error) {
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
		mux.HandleFunc("GET "+model.IdentityPath, func(w http.ResponseWriter, r *http.Request) {
			if t.hangs.Load() {
				<-r.Context().Done()
				return
			}
			host.WriteJSON(w, 200, t.beat())
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
		host.WriteJSON(w, 200, hollowReport{Words: words.Load(), Failed: failed.Load(), In: in.Load(), Sent: sent.Load()})
	})
	mux.HandleFunc("POST /leave", func(w http.ResponseWriter, r *http.Request) {
		t := at(r)
		t.leaves.Store(true)
		host.WriteJSON(w, 200, t.tell(daemons[t.inc%uint64(len(daemons))]))
	})
	mux.HandleFunc("POST /hang", func(w http.ResponseWriter, r *http.Request) {
		at(r).hangs.Store(true)
		host.WriteJSON(w, 200, true)
	})
	return mux, nil
}

// ---- the driver ----

// figure is one measured number.
type figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// hollowSize is one size of fleet.
type hollowSize struct {
	Gates, Targets, Routes int
	Changes                float64 // a second
}

func (s hollowSize) String() string {
	return fmt.Sprintf("%d gates, %d targets, %d routes, %g changes/s", s.Gates, s.Targets, s.Routes, s.Changes)
}

func numbers(list string) (l []float64, err error) {
	for _, s := range strings.Split(list, ",") {
		x, err := strconv.ParseFloat(strings.TrimSpace(s), 64)
		if err != nil || x < 0 {
			return nil, fmt.Errorf("%q is no list of numbers", list)
		}
		l = append(l, x)
	}
	return l, nil
}

// sizes are all that are to be measured, and along what they differ.
func (f *hollowFlags) sizes() (l []hollowSize, along func(hollowSize) float64, err error) {
	var ns [4][]float64
	for i, s := range []string{f.gates, f.targets, f.routes, f.changes} {
		if ns[i], err = numbers(s); err != nil {
			return nil, nil, err
		}
	}
	for _, g := range ns[0] {
		for _, t := range ns[1] {
			for _, r := range ns[2] {
				for _, c := range ns[3] {
					l = append(l, hollowSize{int(g), int(t), int(r), c})
				}
			}
		}
	}
	for _, s := range l {
		if s.Gates < 1 || s.Gates > 1000 || s.Targets < 2*f.rounds+1 || s.Targets > 4000 || s.Routes < 1 || s.Gates <= f.real-1 {
			return nil, nil, fmt.Errorf("%v: there must be 1 to 1000 gates, %d to 4000 targets and a route", s, 2*f.rounds+1)
		}
	}
	along = func(s hollowSize) float64 { return float64(s.Gates) }
	switch {
	case len(ns[1]) > 1:
		along = func(s hollowSize) float64 { return float64(s.Targets) }
	case len(ns[2]) > 1:
		along = func(s hollowSize) float64 { return float64(s.Routes) }
	case len(ns[3]) > 1:
		along = func(s hollowSize) float64 { return s.Changes }
	}
	return l, along, nil
}

// line is the straight line through points by least squares, and what part of their
// spread it leaves unexplained.
func line(x, y []float64) (at0, slope, rest float64) {
	var sx, sy, sxx, sxy, syy float64
	n := float64(len(x))
	for i := range x {
		sx, sy, sxx, sxy, syy = sx+x[i], sy+y[i], sxx+x[i]*x[i], sxy+x[i]*y[i], syy+y[i]*y[i]
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return sy / n, 0, 0
	}
	slope = (n*sxy - sx*sy) / d
	at0 = (sy - slope*sx) / n
	if v := syy - sy*sy/n; v > 0 {
		rest = max(0, 1-slope*slope*(sxx-sx*sx/n)/v)
	}
	return at0, slope, rest
}

func median(l []float64) (mid, lo, hi float64) {
	s := slices.Sorted(slices.Values(l))
	return s[len(s)/2], s[0], s[len(s)-1]
}

// short prints a number with three digits that count.
func short(x float64) string {
	if math.IsInf(x, 1) {
		return "late"
	}
	if x >= 100 {
		return strconv.FormatFloat(x, 'f', 0, 64)
	}
	return strconv.FormatFloat(x, 'g', 3, 64)
}

// procTime reads used processor seconds out of a /proc/PID/stat.
func procTime(stat string) float64 {
	_, rest, _ := strings.Cut(stat[strings.LastIndexByte(stat, ')')+1:], " ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	u, _ := strconv.ParseFloat(f[11], 64)
	s, _ := strconv.ParseFloat(f[12], 64)
	return (u + s) / clockTicks
}

// procMemory reads resident MB out of a /proc/PID/status.
func procMemory(status string) float64 {
	for line := range strings.Lines(status) {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(v)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// wireCounts reads the messages between daemons out of a daemon's metrics.
func wireCounts(metrics string) map[string]float64 {
	m := map[string]float64{}
	for l := range strings.Lines(metrics) {
		k, v, ok := strings.Cut(strings.TrimSpace(l), " ")
		if ok && strings.HasPrefix(k, "mf_wire_") {
			k = strings.NewReplacer("mf_wire_", "", "_total{direction=\"", " ", "\",kind=\"", " ", "\"}", "").Replace(k)
			x, _ := strconv.ParseFloat(v, 64)
			m[k] += x
		}
	}
	return m
}

func flowCounts(l []host.Flow) map[string]float64 {
	m := map[string]float64{}
	for _, f := range l {
		dir := "received"
		if f.Sent {
			dir = "sent"
		}
		m["messages "+dir+" "+f.Kind] += float64(f.Msgs)
		m["bytes "+dir+" "+f.Kind] += float64(f.Bytes)
	}
	return m
}

// reading is all counters at one moment.
type reading struct {
	at    time.Time
	cpu   map[string]float64
	mem   map[string]float64
	core  map[string]map[string]float64
	gates map[string]float64
	backs hollowReport
}

type hollowLab struct {
	*lab
	f       *hollowFlags
	size    hollowSize
	parts   []*proc // of hollow gates
	backs   []*proc // of hollow targets
	spares  []*proc // core daemons that are no members
	figures []figure
}

func (l *hollowLab) fig(name string, v float64) { l.figures = append(l.figures, figure{name, v}) }

func procFile(p *proc, name string) string {
	b, _ := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), name))
	return string(b)
}

func (l *hollowLab) read() reading {
	r := reading{at: time.Now(), cpu: map[string]float64{}, mem: map[string]float64{}, core: map[string]map[string]float64{}}
	for _, p := range slices.Concat(l.cores, l.spares, l.gates, l.parts, l.backs) {
		r.cpu[p.name], r.mem[p.name] = procTime(procFile(p, "stat")), procMemory(procFile(p, "status"))
	}
	for _, p := range slices.Concat(l.cores, l.spares, l.gates) {
		_, b := get("http://" + p.http + "/metrics")
		r.core[p.name] = wireCounts(string(b))
	}
	r.gates = flowCounts(l.report(l.parts, nil).Flows)
	r.backs = l.report(l.backs, nil)
	return r
}

// patient is for processes that may be up to their necks in work.
var patient = &http.Client{Timeout: hollowPatience}

func (l *hollowLab) report(ps []*proc, q url.Values) (sum hollowReport) {
	for _, p := range ps {
		var r hollowReport
		if resp, err := patient.Get("http://" + p.http + "/report?" + q.Encode()); err == nil {
			json.NewDecoder(resp.Body).Decode(&r)
			resp.Body.Close()
		}
		sum.add(r)
	}
	return sum
}

// await looks at the hollow gates until they are as wanted; the time that took, -1: not in time.
func (l *hollowLab) await(from time.Time, bound time.Duration, q url.Values, is func(hollowReport) bool) float64 {
	for {
		if is(l.report(l.parts, q)) {
			return time.Since(from).Seconds()
		}
		if time.Since(from) > bound {
			return -1
		}
		time.Sleep(hollowPoll)
	}
}

// begin starts a fleet of the size and waits until its proxies are leased and its targets usable.
func (l *hollowLab) begin() error {
	for _, d := range []string{"set", "log", "data"} {
		if err := os.MkdirAll(l.path(d), 0o755); err != nil {
			return err
		}
	}
	l.cores, l.gates, l.stubs, l.parts, l.backs, l.spares, l.figures = nil, nil, nil, nil, nil, nil, nil
	seeds, https := l.placeCores()
	for _, p := range l.cores {
		if err := l.startCore(p, seeds); err != nil {
			return err
		}
	}
	if err := l.startTargets(https); err != nil {
		return err
	}
	l.config = hollowConfig(l.size.Targets, l.size.Routes)
	if err := l.configure(hollowUp); err != nil {
		return err
	}
	for _, p := range l.spares { // the core is founded without them
		l.stubs = append(l.stubs, p)
		if err := l.startCore(p, seeds); err != nil {
			return err
		}
	}
	from := time.Now()
	if err := l.startGates(seeds); err != nil {
		return err
	}
	return l.awaitUp(from)
}

// placeCores makes the members and the spare ones, and returns the addresses of the seeds and of
// the members' HTTP APIs.
func (l *hollowLab) placeCores() (seeds, https []string) {
	for i := range l.f.cores + l.f.spares {
		ip := hollowIP(l.f.net, coreBlock, i)
		p := &proc{name: fmt.Sprintf("core-%d", i+1), kind: "mfcore", domain: hollowDomain(i), addr: ip + ":7001", http: ip + ":7101"}
		if i >= l.f.cores {
			l.spares = append(l.spares, p)
			continue
		}
		l.cores = append(l.cores, p)
		https = append(https, p.http)
		if i < 3 {
			seeds = append(seeds, p.addr)
		}
	}
	return seeds, https
}

func (l *hollowLab) startCore(p *proc, seeds []string) error {
	return l.with(p, host.Settings{Name: p.name, Domain: p.domain, Addr: p.addr, HTTP: p.http, From: hostOf(p.addr), Seeds: seeds, Log: "info", Data: l.path("data", p.name), Size: l.f.cores})
}

// startTargets starts the processes that stand for all targets.
func (l *hollowLab) startTargets(https []string) error {
	for k := range l.f.targetProcs {
		first, end := l.size.Targets*k/l.f.targetProcs, l.size.Targets*(k+1)/l.f.targetProcs
		l.backs = append(l.backs, l.part("targets", l.f.gateProcs+k, first, end-first, strings.Join(https, ",")))
	}
	l.stubs = slices.Clone(l.backs)
	for _, p := range l.backs {
		if err := l.spawn(p); err != nil {
			return err
		}
	}
	return nil
}

// hollowGates is how many of the proxies share processes.
func (l *hollowLab) hollowGates() int { return l.size.Gates - l.f.real }

// startGates starts the processes that stand for the proxies, and the real proxies.
func (l *hollowLab) startGates(seeds []string) error {
	hollow := l.hollowGates()
	for k := range l.f.gateProcs {
		first, end := hollow*k/l.f.gateProcs, hollow*(k+1)/l.f.gateProcs
		if end == first {
			continue
		}
		p := l.part("gates", k, first, end-first, strings.Join(seeds, ","))
		l.parts, l.stubs = append(l.parts, p), append(l.stubs, p)
		if err := l.spawn(p); err != nil {
			return err
		}
	}
	for i := hollow; i < l.size.Gates; i++ {
		s := gateSettings(l.f.net, i, seeds)
		p := &proc{name: s.Name, kind: "mfgate", domain: s.Domain, addr: s.Addr, http: s.HTTP, listen: s.Listen}
		l.gates = append(l.gates, p)
		if err := l.with(p, s); err != nil {
			return err
		}
	}
	return nil
}

// awaitUp waits until the proxies are leased and the targets usable, and notes how long that took.
func (l *hollowLab) awaitUp(from time.Time) error {
	hollow := l.hollowGates()
	bound := hollowUp
	if l.f.ramp > 0 {
		bound += time.Duration(hollow) * time.Second / time.Duration(l.f.ramp)
	}
	up := l.await(from, bound, nil, func(r hollowReport) bool { return r.Granted == hollow })
	l.fig("gates granted, s", up)
	if up >= 0 {
		up = l.await(from, bound, nil, func(r hollowReport) bool { return r.Usable == l.size.Targets })
		l.fig("targets usable, s", up)
	}
	if up < 0 {
		r := l.report(l.parts, nil)
		return fmt.Errorf("%v: %d of %d hollow gates granted (%d orphans, %d cut), %d targets usable %.0f s after their start", l.size, r.Granted, hollow, r.Orphan, r.Cut, r.Usable, time.Since(from).Seconds())
	}
	return nil
}

// with writes a daemon's settings and starts it.
func (l *hollowLab) with(p *proc, s host.Settings) error {
	if err := l.settle(p, s); err != nil {
		return err
	}
	return l.spawn(p)
}

func (l *hollowLab) part(kind string, k, first, count int, daemons string) *proc {
	p := &proc{name: fmt.Sprintf("%s-%d", kind, k), kind: "mflab", http: hollowIP(l.f.net, controlBlock, k) + ":7401"}
	p.args = []string{"hollow-part", "--kind", kind, "--net", strconv.Itoa(l.f.net), "--first", strconv.Itoa(first), "--count", strconv.Itoa(count),
		"--of", strconv.Itoa(l.size.Targets), "--beat", l.f.beat.String(), "--daemons", daemons, "--control", p.http}
	if kind == "gates" && l.f.ramp > 0 {
		p.args = append(p.args, "--ramp", strconv.Itoa(max(1, l.f.ramp/l.f.gateProcs)))
	}
	return p
}

// measure takes one run's figures.
func (l *hollowLab) measure() error {
	if err := l.begin(); err != nil {
		return err
	}
	time.Sleep(l.f.settle)
	lead := l.leader()
	if lead == nil {
		return fmt.Errorf("%v: nobody leads after %v", l.size, l.f.settle)
	}
	a := l.read()
	took := l.change(lead, l.f.span)
	b := l.read()
	l.cost(lead, a, b)
	for _, what := range []string{"roster", "targets"} {
		from := time.Now()
		_, text := get("http://" + lead.http + "/v1/" + what)
		l.fig("operator: "+what+", KB", float64(len(text))/1000)
		l.fig("operator: "+what+", ms", float64(time.Since(from).Microseconds())/1000)
	}
	if l.size.Changes > 0 {
		l.fig("changes in force, 1/s", float64(len(took))/b.at.Sub(a.at).Seconds())
	} else {
		took = nil
		for range l.f.rounds {
			took = append(took, l.patch(lead, len(took)))
		}
	}
	l.times("change in force", took)
	var leave, bar []float64
	for i := range l.f.rounds {
		leave = append(leave, l.gone(i, "leave"))
	}
	l.times("leaving word on all gates", leave)
	for i := range l.f.rounds {
		bar = append(bar, l.gone(l.f.rounds+i, "hang"))
	}
	l.times("silent target barred on all gates", bar)
	if l.size.Gates <= l.f.orphans {
		l.orphaned()
	}
	return nil
}

func (l *hollowLab) times(what string, s []float64) {
	if len(s) > 0 {
		mid, _, hi := median(s)
		l.fig(what+", s", mid)
		l.fig(what+", s, longest", hi)
	}
}

// change makes configuration changes at the size's rate for a span; how long each took.
func (l *hollowLab) change(lead *proc, span time.Duration) (took []float64) {
	end := time.Now().Add(span)
	if l.size.Changes > 0 {
		next := time.Now()
		for i := 0; time.Now().Before(end); i++ {
			took = append(took, l.patch(lead, i))
			next = next.Add(time.Duration(float64(time.Second) / l.size.Changes))
			time.Sleep(min(time.Until(next), time.Until(end)))
		}
	}
	time.Sleep(time.Until(end))
	return took
}

// patch changes one route; how long that took until it was answered as in force, -1: it was not.
func (l *hollowLab) patch(lead *proc, i int) float64 {
	_, b := get("http://" + lead.http + "/v1/status")
	var v struct{ Revision uint64 }
	json.Unmarshal(b, &v)
	body := fmt.Sprintf(`{"routes":{%q:{"timeout_ms":%d}}}`, hollowRoute(0), 2001+i%1000)
	req, _ := http.NewRequest("PATCH", fmt.Sprintf("http://%s/v1/config?base=%d", lead.http, v.Revision), strings.NewReader(body))
	from := time.Now()
	resp, err := (&http.Client{Timeout: hollowChange}).Do(req)
	if err != nil {
		return -1
	}
	resp.Body.Close()
	if resp.StatusCode != 200 {
		return -1
	}
	took := time.Since(from).Seconds()
	q := url.Values{"revision": {strconv.FormatUint(v.Revision+1, 10)}}
	if l.size.Changes == 0 && l.await(from, hollowChange, q, func(r hollowReport) bool { return r.At == r.Gates }) < 0 {
		return -1
	}
	return took
}

// gone has a target leave or fall silent; how long until no hollow gate would choose it.
func (l *hollowLab) gone(i int, how string) float64 {
	service, name := hollowTarget(i, l.size.Targets)
	q := url.Values{"service": {service}, "name": {name}}
	from := time.Now()
	go func() {
		for k, p := range l.backs {
			if i < l.size.Targets*(k+1)/len(l.backs) {
				if resp, err := client.Post(fmt.Sprintf("http://%s/%s?i=%d", p.http, how, i), "", nil); err == nil {
					resp.Body.Close()
				}
				return
			}
		}
	}()
	return l.await(from, hollowChange, q, func(r hollowReport) bool { return r.Out == r.Gates })
}

// leaderless freezes the core and measures the gates meanwhile.
func (l *hollowLab) orphaned() {
	for _, p := range slices.Concat(l.cores, l.spares) {
		p.signal(syscall.SIGSTOP)
	}
	time.Sleep(hollowSoon)
	a := l.gatesNow()
	time.Sleep(hollowFreeze - hollowSoon)
	b := l.gatesNow()
	r := l.report(l.parts, nil)
	l.fig("core frozen: gates that serve, %", 100*float64(r.Orphan+r.Granted)/float64(max(1, r.Gates)))
	l.perGate("core frozen: gate", a, b)
	l.fig("core frozen: gate, KB/s out as hello", rate(a.gates, b.gates, "bytes sent hello", b.at.Sub(a.at).Seconds())/float64(max(1, r.Gates))/1000)
	for _, p := range slices.Concat(l.cores, l.spares) {
		p.signal(syscall.SIGCONT)
	}
	l.fig("core back: gates granted, s", l.await(time.Now(), hollowUp, nil, func(r hollowReport) bool { return r.Granted == r.Gates }))
}

func (l *hollowLab) gatesNow() reading {
	r := reading{at: time.Now(), cpu: map[string]float64{}}
	for _, p := range l.parts {
		r.cpu[p.name] = procTime(procFile(p, "stat"))
	}
	r.gates = flowCounts(l.report(l.parts, nil).Flows)
	return r
}

// rate sums what grew between two readings, by prefix of the counters' names.
func rate(a, b map[string]float64, prefix string, sec float64) (sum float64) {
	for k, v := range b {
		if strings.HasPrefix(k, prefix) {
			sum += v - a[k]
		}
	}
	return sum / sec
}

func (l *hollowLab) perGate(who string, a, b reading) {
	sec, n := b.at.Sub(a.at).Seconds(), float64(l.size.Gates-l.f.real)
	cpu := 0.0
	for _, p := range l.parts {
		cpu += b.cpu[p.name] - a.cpu[p.name]
	}
	l.fig(who+", % of a core", 100*cpu/sec/n)
	l.fig(who+", messages/s", (rate(a.gates, b.gates, "messages ", sec))/n)
	l.fig(who+", KB/s in", rate(a.gates, b.gates, "bytes received ", sec)/n/1000)
	l.fig(who+", KB/s out", rate(a.gates, b.gates, "bytes sent ", sec)/n/1000)
}

// cost is what each role used between two readings.
func (l *hollowLab) cost(lead *proc, a, b reading) {
	sec := b.at.Sub(a.at).Seconds()
	daemon := func(who string, ps []*proc) {
		var cpu, mem, msgs, in, out float64
		for _, p := range ps {
			cpu += b.cpu[p.name] - a.cpu[p.name]
			mem += b.mem[p.name]
			msgs += rate(a.core[p.name], b.core[p.name], "messages ", sec)
			in += rate(a.core[p.name], b.core[p.name], "bytes received ", sec)
			out += rate(a.core[p.name], b.core[p.name], "bytes sent ", sec)
		}
		n := float64(max(1, len(ps)))
		l.fig(who+", % of a core", 100*cpu/sec/n)
		l.fig(who+", MB", mem/n)
		l.fig(who+", messages/s", msgs/n)
		l.fig(who+", KB/s in", in/n/1000)
		l.fig(who+", KB/s out", out/n/1000)
	}
	daemon("leader", []*proc{lead})
	daemon("member", slices.DeleteFunc(slices.Clone(l.cores), func(p *proc) bool { return p == lead }))
	if len(l.spares) > 0 {
		daemon("spare", l.spares)
	}
	l.perGate("gate", a, b)
	mem := 0.0
	for _, p := range l.parts {
		mem += b.mem[p.name]
	}
	n := float64(max(1, l.size.Gates-l.f.real))
	l.fig("gate, MB of its share", mem/n)
	for _, k := range []string{"hello", "push"} {
		l.fig("gate, KB/s in as "+k, rate(a.gates, b.gates, "bytes received "+k, sec)/n/1000)
	}
	if len(l.gates) > 0 {
		daemon("real gate", l.gates)
	}
	t := float64(l.size.Targets)
	l.fig("target, words/s", float64(b.backs.Words-a.backs.Words)/sec/t)
	l.fig("target, words failed/s", float64(b.backs.Failed-a.backs.Failed)/sec/t)
	l.fig("target, KB/s both ways", float64(b.backs.In+b.backs.Sent-a.backs.In-a.backs.Sent)/sec/t/1000)
}

// end ends what this run started and forgets its files.
func (l *hollowLab) end() {
	l.down()
	for _, d := range []string{"set", "data"} {
		os.RemoveAll(l.path(d))
	}
}

func load() float64 {
	b, _ := os.ReadFile("/proc/loadavg")
	f, _, _ := strings.Cut(string(b), " ")
	x, _ := strconv.ParseFloat(f, 64)
	return x
}

// hollow measures all sizes, run after run, and prints a table with a line through each row.
func (l *lab) hollow(f *hollowFlags) int {
	sizes, along, err := f.sizes()
	if err != nil {
		fmt.Fprintln(os.Stderr, "mflab:", err)
		return 2
	}
	if f.bytes {
		fmt.Print(hollowBytes())
		return 0
	}
	if f.threads > 0 {
		os.Setenv("GOMAXPROCS", strconv.Itoa(f.threads))
		defer os.Unsetenv("GOMAXPROCS")
	}
	if err := os.RemoveAll(l.dir); err != nil {
		fmt.Fprintln(os.Stderr, "mflab:", err)
		return 1
	}
	code := 0
	got := make([]map[string][]float64, len(sizes))
	var order []string
	for i := range sizes {
		got[i] = map[string][]float64{}
	}
	for k := range f.runs {
		for i, s := range sizes { // sizes in turn, so that a busy moment does not fall on one alone
			h := &hollowLab{lab: l, f: f, size: s}
			before := load()
			err := h.measure()
			h.fig("load average before", before)
			if err != nil {
				fmt.Fprintf(os.Stderr, "mflab: run %d: %v\n", k+1, err)
				code = 1
			}
			h.end()
			for _, g := range h.figures {
				if !slices.Contains(order, g.Name) {
					order = append(order, g.Name)
				}
				got[i][g.Name] = append(got[i][g.Name], g.Value)
			}
			if f.out == "json" {
				b, _ := json.Marshal(map[string]any{"run": k + 1, "size": s, "figures": h.figures})
				fmt.Println(string(b))
			}
		}
	}
	if f.out == "text" {
		fmt.Print(hollowTable(sizes, along, order, got, f))
	}
	return code
}

// hollowTable shows each figure's median and span by size, and the line through the medians.
func hollowTable(sizes []hollowSize, along func(hollowSize) float64, order []string, got []map[string][]float64, f *hollowFlags) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d core members, %d real gates, %d threads each, %d processors; span %v, %d runs: median (least to most); line: at 0, per one, part unexplained\n\n|", f.cores, f.real, f.threads, runtime.NumCPU(), f.span, f.runs)
	for _, s := range sizes {
		fmt.Fprintf(&b, " | %v", s)
	}
	b.WriteString(" | line |\n|---|" + strings.Repeat("---|", len(sizes)+1) + "\n")
	for _, n := range order {
		fmt.Fprintf(&b, "| %s", n)
		var x, y []float64
		for i, s := range sizes {
			v := got[i][n]
			if len(v) == 0 {
				b.WriteString(" | -")
				continue
			}
			v = slices.Clone(v)
			for i := range v {
				if v[i] < 0 { // not in time
					v[i] = math.Inf(1)
				}
			}
			mid, lo, hi := median(v)
			fmt.Fprintf(&b, " | %s (%s to %s)", short(mid), short(lo), short(hi))
			if !math.IsInf(mid, 1) {
				x, y = append(x, along(s)), append(y, mid)
			}
		}
		if at0, slope, rest := line(x, y); len(x) > 1 {
			fmt.Fprintf(&b, " | %s, %s, %.2f", short(at0), short(slope), rest)
		} else {
			b.WriteString(" | -")
		}
		b.WriteString(" |\n")
	}
	return b.String()
}

// hollowBytes is what configurations and tables take that have nothing but routes, services,
// targets or gates in them.
func hollowBytes() string {
	var b strings.Builder
	for _, n := range []int{10, 100, 1000, 2500, 23000} {
		fmt.Fprintf(&b, "configuration with %d routes: %d bytes\n", n, len(hollowConfig(36, n)))
	}
	fmt.Fprintf(&b, "configuration with %d services: %d bytes\n", hollowServices(42000), len(hollowConfig(42000, 1)))
	size := func(t *wire.Table) int {
		m, _ := wire.Encode(&wire.Msg{Kind: uint16(wire.KPush), Push: &wire.Push{Table: t}})
		return len(wire.Pack(nil, m))
	}
	for _, n := range []int{36, 150, 600, 1200, 100000} {
		var t wire.Table
		for i := range n {
			s, name := hollowTarget(i, n)
			t.Targets = append(t.Targets, wire.Target{Service: s, Name: name, Inc: 1 << 60, Addr: hollowIP(40, targetBlock, i%4000) + ":7301", Domain: hollowDomain(i), State: model.Ready,
				Demand: 0.25, HasDemand: true, Beating: true, Turn: uint32(i)})
		}
		fmt.Fprintf(&b, "table with %d targets: %d bytes\n", n, size(&t))
	}
	for _, n := range []int{0, 30} {
		var p wire.Pull
		for i := range n {
			s, name := hollowTarget(i, n)
			p.Seen = append(p.Seen, wire.Seen{Service: s, Name: name, Inc: 1 << 60, Ok: 1, SumMs: 3.5})
		}
		m, _ := wire.Encode(&wire.Msg{Kind: uint16(wire.KPull), From: "gate-0000", To: "core-1", Stamp: 1, Pull: &p})
		fmt.Fprintf(&b, "pull that reports on %d targets: %d bytes\n", n, len(wire.Pack(nil, m)))
	}
	for _, n := range []int{12, 48, 192, 7100} {
		var t wire.Table
		for i := range n {
			s := gateSettings(40, i%1000, nil)
			t.Gates = append(t.Gates, wire.Gate{Name: s.Name, Addr: s.Addr, Domain: s.Domain, Live: true})
		}
		fmt.Fprintf(&b, "table with %d gates: %d bytes\n", n, size(&t))
	}
	return b.String()
}
