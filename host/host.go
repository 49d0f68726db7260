// Package host is the shell around the owners: the clock, the loop that feeds an
// owner on its one goroutine, messages between daemons over TCP, probes, the
// disk, settings, logs and counters. Host is the one context that all of it
// shares. Nothing here decides anything.
package host

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"myrtlefold/carry"
	"myrtlefold/core"
	"myrtlefold/limit"
	"myrtlefold/model"
	"myrtlefold/quorum"
	"myrtlefold/ring"
	"myrtlefold/wire"
)

// Version is what the programs say they are.
var Version = "0.1.0"

// Settings are a daemon's own: its place, not what it serves.
type Settings struct {
	Name   string   `koanf:"name" json:"name"`
	Domain string   `koanf:"domain" json:"domain"`
	Addr   string   `koanf:"addr" json:"addr"`
	Bind   string   `koanf:"bind" json:"bind,omitempty"`
	From   string   `koanf:"from" json:"from,omitempty"`
	Http   string   `koanf:"http" json:"http"`
	Listen string   `koanf:"listen" json:"listen,omitempty"`
	Seeds  []string `koanf:"seeds" json:"seeds"`
	Data   string   `koanf:"data" json:"data,omitempty"`
	Size   int      `koanf:"size" json:"size,omitempty"`
	Log    string   `koanf:"log" json:"log,omitempty"`
	// Found says that this is the fleet's first start ever: where no size is told, the seeds found the core then.
	Found bool `koanf:"found" json:"found,omitempty"`
	// Domains are all domains of the fleet, if they are known beforehand.
	Domains []string `koanf:"domains" json:"domains,omitempty"`
	// MemoryMb is what the process may take, in MiB; the runtime is told. 0: not bounded.
	MemoryMb int `koanf:"memory_mb" json:"memory_mb,omitempty"`
	// GraceMs is how long after the polite signal the process is ended by force, 0: not known.
	GraceMs int `koanf:"grace_ms" json:"grace_ms,omitempty"`
	// RetryRatio, RetryWindowMs and RetrySlack bound what goes to a second target or a later
	// one, per service and over all proxies; 0: the program's own.
	RetryRatio    float64 `koanf:"retry_ratio" json:"retry_ratio,omitempty"`
	RetryWindowMs int     `koanf:"retry_window_ms" json:"retry_window_ms,omitempty"`
	RetrySlack    int     `koanf:"retry_slack" json:"retry_slack,omitempty"`
	// ReadyWhenEmptied has a proxy go on asking for callers while its domain is emptied.
	ReadyWhenEmptied bool `koanf:"ready_when_emptied" json:"ready_when_emptied,omitempty"`
}

// Dialect is how a platform speaks where that is not the product's own way.
type Dialect struct {
	// Load reads the settings and, for comparing, what they were read from; nil: flags and file.
	Load func() (Settings, []byte, []model.Fault, error)
	// Headers are the names of the headers that exchanges carry.
	Headers carry.Headers
}

// Own is the product's own way.
func Own() Dialect { return Dialect{Headers: carry.Defaults()} }

// Check lists the faults of settings for a kind of daemon.
func (s *Settings) Check(kind string) []model.Fault {
	var fs []model.Fault
	add := func(p, f string, a ...any) { fs = append(fs, model.Fault{Path: p, Text: fmt.Sprintf(f, a...)}) }
	addr := func(p, v string) {
		if ap, err := netip.ParseAddrPort(v); err != nil || ap.Port() == 0 || ap.Addr().IsUnspecified() {
			add(p, "%q is not IP:port with an address that others can reach", v)
		}
	}
	if s.Name == "" || len(s.Name) > 64 || strings.ContainsAny(s.Name, " /\"") {
		add("name", "must be 1 to 64 characters without spaces, quotes or /")
	}
	if s.Domain == "" {
		add("domain", "is missing")
	}
	addr("addr", s.Addr)
	addr("http", s.Http)
	if s.Bind != "" {
		if ap, err := netip.ParseAddrPort(s.Bind); err != nil || ap.Port() == 0 {
			add("bind", "%q is not IP:port", s.Bind)
		}
	}
	if s.From != "" {
		if ip, err := netip.ParseAddr(s.From); err != nil || ip.IsUnspecified() {
			add("from", "%q is not an IP of this machine", s.From)
		}
	}
	for i, a := range s.Seeds {
		addr(fmt.Sprintf("seeds[%d]", i), a)
	}
	if _, err := logrus.ParseLevel(s.Log); err != nil {
		add("log", "%v", err)
	}
	for _, n := range []struct {
		path string
		v    float64
	}{{"memory_mb", float64(s.MemoryMb)}, {"grace_ms", float64(s.GraceMs)}, {"retry_ratio", s.RetryRatio}, {"retry_window_ms", float64(s.RetryWindowMs)}, {"retry_slack", float64(s.RetrySlack)}} {
		if !(n.v >= 0 && n.v <= 1<<31) {
			add(n.path, "%v is below 0 or too large", n.v)
		}
	}
	switch kind {
	case "core":
		if s.Data == "" {
			add("data", "is missing: a core member needs a folder")
		}
		if s.Size != 0 && s.Size != 1 && s.Size != 3 && s.Size != 5 {
			add("size", "a core has 3 or 5 members (1 for trials, 0 if the seeds found it), not %d", s.Size)
		}
		if s.Size == 0 && len(s.Seeds) == 0 {
			add("seeds", "is empty, and no size is told")
		}
		if s.Size > 1 && len(s.Seeds) == 0 {
			add("seeds", "is empty")
		}
		if s.Listen != "" {
			add("listen", "is for proxies")
		}
	case "gate":
		addr("listen", s.Listen)
		if len(s.Seeds) == 0 {
			add("seeds", "is empty")
		}
		if s.Size != 0 {
			add("size", "is for core members")
		}
	}
	return fs
}

// Flags puts the settings on a command line; what is given there goes before the file.
type Flags struct {
	File  string
	set   Settings
	sized bool // a size is given, which may be 0
}

func (f *Flags) Bind(app *kingpin.Application, kind string) {
	app.Flag("settings", "settings file (JSON); looked at again while running").Short('s').StringVar(&f.File)
	app.Flag("name", "this daemon's name, unique in the fleet").StringVar(&f.set.Name)
	app.Flag("domain", "the domain (zone) that this machine stands in").StringVar(&f.set.Domain)
	app.Flag("addr", "IP:port for the other daemons").StringVar(&f.set.Addr)
	app.Flag("bind", "IP:port to listen on for the other daemons, if it is not addr itself").StringVar(&f.set.Bind)
	app.Flag("from", "IP that pipes to daemons and back ends leave from (default: the system's choice)").StringVar(&f.set.From)
	app.Flag("http", "IP:port for operators, back ends, /ready, /live and /metrics").StringVar(&f.set.Http)
	app.Flag("seed", "address of another daemon (repeat for up to three)").StringsVar(&f.set.Seeds)
	app.Flag("memory-mb", "MiB that the process may take; the runtime is told").IntVar(&f.set.MemoryMb)
	app.Flag("log", "log level: error, warn, info or debug").StringVar(&f.set.Log)
	if kind == "gate" {
		app.Flag("listen", "IP:port for callers").StringVar(&f.set.Listen)
		app.Flag("grace-ms", "how long after SIGTERM the process is ended by force").IntVar(&f.set.GraceMs)
	} else {
		app.Flag("data", "folder for this member's state").StringVar(&f.set.Data)
		app.Flag("size", "how many members found the core: 3 or 5 (1 for trials), 0 if the seeds found it and it grows (default 3)").IsSetByUser(&f.sized).IntVar(&f.set.Size)
		app.Flag("found", "this is the fleet's first start ever: without a size, the seeds found the core").BoolVar(&f.set.Found)
	}
}

// Load reads the file, lays the flags over it and checks the whole.
func (f *Flags) Load(kind string) (Settings, []byte, []model.Fault, error) {
	s := Settings{Log: "info"}
	if kind == "core" {
		s.Size = 3
	}
	var raw []byte
	var faults []model.Fault
	if f.File != "" {
		var err error
		if raw, err = os.ReadFile(f.File); err != nil {
			return s, nil, nil, errors.Wrap(err, "settings file")
		}
		if faults, err = model.Decode(raw, &s); err != nil {
			return s, raw, nil, errors.Wrapf(err, "settings file %s", f.File)
		}
	}
	over := reflect.ValueOf(f.set)
	for i := range over.NumField() {
		if !over.Field(i).IsZero() {
			reflect.ValueOf(&s).Elem().Field(i).Set(over.Field(i))
		}
	}
	if f.sized {
		s.Size = f.set.Size
	}
	return s, raw, append(faults, s.Check(kind)...), nil
}

// Host is the context that a daemon's parts share.
type Host struct {
	Kind  string
	Set   Settings
	Log   *logrus.Logger
	Reg   *prometheus.Registry
	Inc   uint64
	Loop  *Loop
	load  func() (Settings, []byte, []model.Fault, error)
	say   Dialect
	raw   []byte
	start time.Time
	out   map[string]chan queued
	Quit  chan int
	// Traffic counts the messages between this daemon and others.
	Traffic *Traffic
	// Headers are the names that targets are asked with; none: the product's own.
	Headers  carry.Headers
	probes   map[wire.ID]*probed
	probesAt time.Duration
}

// Start reads command line and settings; on any fault it says each and exits 2.
func Start(kind string, args []string, say Dialect) *Host {
	app := kingpin.New("mf"+kind, map[string]string{
		"core": "A control daemon: keeps the configuration, the roster and the judgement of targets.",
		"gate": "A proxy daemon: carries callers' exchanges to back ends."}[kind])
	app.Version(Version)
	app.HelpFlag.Short('h')
	f := &Flags{}
	load := say.Load
	if load == nil {
		f.Bind(app, kind)
		load = func() (Settings, []byte, []model.Fault, error) { return f.Load(kind) }
	}
	check := app.Flag("check", "check the settings and exit").Bool()
	if _, err := app.Parse(args); err != nil {
		fmt.Fprintf(os.Stderr, "mf%s: %v, see --help\n", kind, err)
		os.Exit(2)
	}
	set, raw, faults, err := load()
	if err != nil {
		fmt.Fprintf(os.Stderr, "mf%s: %v\n", kind, err)
		os.Exit(2)
	}
	for _, x := range faults {
		fmt.Fprintf(os.Stderr, "mf%s: settings: %s: %s\n", kind, x.Path, x.Text)
	}
	if len(faults) > 0 {
		os.Exit(2)
	}
	if *check {
		fmt.Println("settings are sound")
		os.Exit(0)
	}
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetFormatter(&logrus.JSONFormatter{})
	lv, _ := logrus.ParseLevel(set.Log)
	log.SetLevel(lv)
	h := New(kind, set, log)
	h.load, h.say, h.Headers, h.raw = load, say, say.Headers, raw
	h.bound(set)
	h.Reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return h
}

// New is a daemon's context by itself: what the process has in common is Start's.
func New(kind string, set Settings, log *logrus.Logger) *Host {
	h := &Host{Kind: kind, Set: set, Log: log, Reg: prometheus.NewRegistry(), Inc: rand.Uint64() | 1, Traffic: &Traffic{},
		start: time.Now(), out: map[string]chan queued{}, Quit: make(chan int, 1)}
	h.Reg.MustRegister(h.Traffic)
	h.Loop = &Loop{in: make(chan item, limit.EventQueue), h: h, waits: map[uint64]chan any{}}
	return h
}

// bound tells the runtime how much memory there is: the most goes to what lives, and
// a part stays for what the runtime does not count.
func (h *Host) bound(s Settings) {
	if s.MemoryMb > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMb<<20) * limit.MemoryShare))
		debug.SetGCPercent(limit.GcPercent)
	}
}

// Now is monotonic time since the process started, never 0.
func (h *Host) Now() time.Duration { return time.Since(h.start) + time.Millisecond }

// From is where pipes leave from, nil for the system's choice.
func (h *Host) From() net.Addr {
	if h.Set.From == "" {
		return nil
	}
	return &net.TCPAddr{IP: net.ParseIP(h.Set.From)}
}

func (h *Host) Daemon() wire.Daemon {
	return wire.Daemon{Name: h.Set.Name, Kind: h.Kind, Domain: h.Set.Domain, Addr: h.Set.Addr, Http: h.Set.Http, Inc: h.Inc}
}

// Fatal ends the process on something that it can't go on without.
func (h *Host) Fatal(err error, what string) {
	h.Log.WithError(err).Error(what)
	os.Exit(1)
}

type item struct {
	ev    any
	id    uint64
	reply chan any
	look  func(now time.Duration)
}

// Loop feeds one owner from one goroutine.
type Loop struct {
	in    chan item
	h     *Host
	waits map[uint64]chan any
}

func (l *Loop) Tell(ev any) { l.in <- item{ev: ev} }

// Ask tells the owner ev and waits for the command that answers id; cancel is
// told instead if the context ends first.
func (l *Loop) Ask(ctx context.Context, id uint64, ev, cancel any) any {
	ch := make(chan any, 1)
	l.in <- item{ev: ev, id: id, reply: ch}
	select {
	case v := <-ch:
		return v
	case <-ctx.Done():
		l.in <- item{ev: cancel, id: id}
		return nil
	}
}

// Look runs f on the owner's goroutine and waits for it.
func (l *Loop) Look(f func(now time.Duration)) {
	done := make(chan struct{})
	l.in <- item{look: func(now time.Duration) { f(now); close(done) }}
	<-done
}

// Answer hands an answer to who waits for it.
func (l *Loop) Answer(id uint64, v any) {
	if ch := l.waits[id]; ch != nil {
		delete(l.waits, id)
		ch <- v
	}
}

// Run is the owner's goroutine.
func (l *Loop) Run(step func(time.Duration, any) []any, exec func(cmd any)) {
	tick := time.NewTicker(limit.TickEvery)
	defer tick.Stop()
	do := func(ev any) {
		for _, c := range step(l.h.Now(), ev) {
			exec(c)
		}
	}
	for {
		select {
		case it := <-l.in:
			switch {
			case it.look != nil:
				it.look(l.h.Now())
				continue
			case it.reply != nil:
				l.waits[it.id] = it.reply
			case it.id != 0:
				delete(l.waits, it.id)
			}
			if it.ev != nil {
				do(it.ev)
			}
		case <-tick.C:
			do(core.Tick{})
		}
	}
}

// ---- messages between daemons ----

// passes says that a listener's error ends by itself: descriptors come free, or one caller went.
func passes(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

// Listen takes messages from other daemons.
func (h *Host) Listen() error {
	ln, err := carry.Listen(cmp.Or(h.Set.Bind, h.Set.Addr), limit.Unacked)
	if err != nil {
		return errors.Wrap(err, "listen for daemons")
	}
	go func() {
		for {
			c, err := ln.Accept()
			if passes(err) {
				time.Sleep(limit.Redial)
				continue
			}
			if err != nil {
				h.Fatal(err, "accept from daemons")
			}
			go func() {
				defer c.Close()
				r, from := wire.NewReader(c), ""
				for {
					b, err := r.Next()
					if err != nil {
						return
					}
					m, err := wire.Decode(b)
					if err != nil {
						h.Log.WithError(err).WithField("from", c.RemoteAddr().String()).Warn("message not understood")
						return
					}
					if m.From == "" {
						m.From = from // who speaks is said once
					}
					from = m.From
					h.Traffic.add(false, m.Kind, r.Size)
					h.Loop.Tell(core.Recv{M: m})
				}
			}()
		}
	}()
	return nil
}

// queued is a message on its way and since when.
type queued struct {
	m  *wire.Msg
	at time.Duration
}

// Send queues a message for an address; called on the owner's goroutine. What
// can't be sent soon is dropped: every message is said again or made up for.
func (h *Host) Send(addr string, m *wire.Msg) {
	ch := h.out[addr]
	if ch == nil {
		ch = make(chan queued, limit.SendQueue)
		h.out[addr] = ch
		go h.sender(addr, ch)
	}
	select {
	case ch <- queued{m, h.Now()}:
	default:
	}
}

func (h *Host) sender(addr string, ch chan queued) {
	var c net.Conn
	var w *wire.Writer
	for q := range ch {
		if h.Now()-q.at > limit.SendLate { // it would only keep later ones waiting
			continue
		}
		var err error
		if c == nil {
			d := carry.Dialer(h.From(), limit.ProbeCap)
			if c, err = d.Dial("tcp", addr); err != nil {
				c = nil
				time.Sleep(limit.Redial)
				for len(ch) > 0 {
					<-ch // stale by now
				}
				continue
			}
			w = wire.NewWriter(c)
			go func(c net.Conn) { // the other side never speaks: its close is all that is read
				io.Copy(io.Discard, c)
				c.Close()
			}(c)
		}
		c.SetWriteDeadline(time.Now().Add(limit.GateGrant))
		size := 0
		if size, err = w.Put(q.m); err == nil {
			h.Traffic.add(true, q.m.Kind, size)
		}
		if err == nil && len(ch) == 0 {
			err = w.Flush()
		}
		if err != nil {
			h.Log.WithError(err).WithField("to", addr).Debug("message not sent")
			c.Close()
			c = nil
		}
	}
}

// ---- disk ----

// Disk owns the ring: batches in, numbers of synced ones out.
type Disk struct {
	h    *Host
	ring *ring.Ring
	img  quorum.Image
	in   chan *wire.Batch
}

// OpenDisk reads what the folder holds; an empty one gets a number of its own.
func (h *Host) OpenDisk() (*Disk, quorum.Image, error) {
	r, recs, err := ring.Open(h.Set.Data, limit.RingFiles, limit.RingFileSize)
	if err != nil {
		return nil, quorum.Image{}, err
	}
	d := &Disk{h: h, ring: r, in: make(chan *wire.Batch, limit.EventQueue)}
	for _, rec := range recs {
		b, err := wire.DecodeBatch(rec)
		if err != nil {
			return nil, quorum.Image{}, errors.Mark(errors.Wrap(err, "ring record"), ring.ErrDamaged)
		}
		d.img.Fold(b)
	}
	if d.img.Disk == 0 {
		d.img.Disk = rand.Uint64() | 1
		if err := d.rotate(); err != nil {
			return nil, quorum.Image{}, err
		}
	}
	img := d.img
	img.Log = slices.Clone(img.Log)
	return d, img, nil
}

func (d *Disk) rotate() error {
	b, err := wire.EncodeBatch(d.img.Whole())
	if err != nil {
		return err
	}
	return d.ring.Rotate(b)
}

func (d *Disk) Run() {
	for b := range d.in {
		bs := []*wire.Batch{b}
		for len(d.in) > 0 && len(bs) < 64 {
			bs = append(bs, <-d.in)
		}
		var recs [][]byte
		for _, b := range bs {
			d.img.Fold(b)
			rec, err := wire.EncodeBatch(b)
			if err != nil {
				d.h.Fatal(err, "batch not encoded")
			}
			recs = append(recs, rec)
		}
		room, err := d.ring.Append(recs...)
		if err == nil && !room {
			err = d.rotate()
		}
		if err != nil {
			d.h.Fatal(err, "disk")
		}
		d.h.Loop.Tell(core.Synced{Seq: bs[len(bs)-1].Seq})
	}
}

// ---- what every daemon serves and watches ----

// Counters shows an owner's or carrier's counts, whatever fields they have.
func (h *Host) Counters(prefix string, get func() any) {
	h.Reg.MustRegister(counts{prefix, get})
}

type counts struct {
	prefix string
	get    func() any
}

func (c counts) Describe(chan<- *prometheus.Desc) {}

func (c counts) Collect(ch chan<- prometheus.Metric) {
	v := reflect.Indirect(reflect.ValueOf(c.get()))
	for i := range v.NumField() {
		f := v.Field(i)
		n := snake(v.Type().Field(i).Name)
		var x float64
		switch {
		case f.CanUint():
			x = float64(f.Uint())
		case f.CanAddr() && f.Addr().MethodByName("Load").IsValid():
			x = float64(f.Addr().MethodByName("Load").Call(nil)[0].Uint())
		default:
			continue
		}
		d := prometheus.NewDesc("mf_"+c.prefix+"_"+n+"_total", "Count of "+strings.ReplaceAll(n, "_", " ")+".", nil, nil)
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, x)
	}
}

func snake(s string) string {
	var b strings.Builder
	for i, r := range s {
		if i > 0 && r >= 'A' && r <= 'Z' {
			b.WriteByte('_')
		}
		b.WriteRune(r)
	}
	return strings.ToLower(b.String())
}

// Admin is the mux that every daemon starts from.
func (h *Host) Admin(ready func() (bool, any)) *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, r *http.Request) { WriteJSON(w, 200, map[string]any{"live": true}) })
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, r *http.Request) {
		ok, why := ready()
		status := 200
		if !ok {
			status = 503
		}
		WriteJSON(w, status, map[string]any{"ready": ok, "state": why})
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(h.Reg, promhttp.HandlerOpts{}))
	return mux
}

func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// Serve runs an HTTP server on addr.
func (h *Host) Serve(addr string, hd http.Handler) (*http.Server, error) {
	return h.serve(addr, hd, nil)
}

// ServeCallers runs the carrier's server on addr.
func (h *Host) ServeCallers(addr string, c *carry.Carrier) (*http.Server, error) {
	return h.serve(addr, c, c)
}

func (h *Host) serve(addr string, hd http.Handler, c *carry.Carrier) (*http.Server, error) {
	ln, err := carry.Listen(addr, limit.CallerUnacked)
	if err != nil {
		return nil, errors.Wrap(err, "listen for HTTP")
	}
	s := &http.Server{Handler: hd, ReadHeaderTimeout: limit.CallerHeader, IdleTimeout: limit.CallerIdle, MaxHeaderBytes: 4 * limit.HeaderMax}
	if c != nil {
		ln, s.ConnContext = c.Listener(ln), c.Context
	}
	go func() {
		if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			h.Fatal(err, "HTTP server")
		}
	}()
	return s, nil
}

// Call passes an operator's or back end's call to the owner.
func (h *Host) Call(next func() uint64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit.DocMax+1))
		var mb *http.MaxBytesError
		if errors.As(err, &mb) {
			carry.Error(w, 413, 0, model.Trouble{Code: "too_large", Message: fmt.Sprintf("at most %d bytes", limit.DocMax)})
			return
		}
		if err != nil {
			return
		}
		id := next()
		q := r.URL.Query()
		if v := strings.Trim(r.Header.Get("If-Match"), `"`); v != "" && !q.Has("base") {
			q.Set("base", v)
		}
		token := fmt.Sprintf("%s-%08x", time.Now().UTC().Format("20060102T150405Z"), rand.Uint32())
		v := h.Loop.Ask(r.Context(), id, core.Ask{ID: id, Token: token, Method: r.Method, Path: r.URL.Path, Query: q.Encode(), Body: b}, nil)
		a, ok := v.(core.Reply)
		if !ok {
			return
		}
		if a.Retry > 0 {
			w.Header().Set("Retry-After", carry.After(a.Retry))
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(a.Status)
		w.Write(a.Body)
	}
}

// Do carries out the commands that both daemons' owners give; on the owner's goroutine.
func (h *Host) Do(cmd any) {
	switch c := cmd.(type) {
	case core.Send:
		h.Send(c.Addr, c.M)
	case core.Probe:
		h.Probe(c)
	case core.Reply:
		h.Loop.Answer(c.ID, c)
	case core.Change:
		h.Log.WithFields(logrus.Fields{"what": c.What, "from": c.From, "to": c.To, "why": c.Why, "daemon": h.Set.Name}).Info("change")
	case core.Exit:
		select {
		case h.Quit <- 0:
		default:
		}
	default:
		panic(errors.AssertionFailedf("command %T", cmd))
	}
}

// Signals passes the first polite signal to the owner; a second one ends the process.
func (h *Host) Signals() {
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ch
		h.Loop.Tell(core.Stop{})
		<-ch
		h.Log.Warn("second signal")
		os.Exit(1)
	}()
}

// Watch looks at the settings again and again, and at once on SIGHUP. Sound changes of
// log level, seeds and memory take effect; others wait for the next start; unsound ones
// are said once and the old ones kept.
func (h *Host) Watch(seeds func([]string)) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	tick := time.NewTicker(limit.SettingsEvery)
	go func() {
		seen, cur := string(h.raw), h.Set
		for {
			select {
			case <-hup:
			case <-tick.C:
			}
			s, b, faults, err := h.load()
			if string(b) == seen && err == nil {
				continue
			}
			if err != nil || len(faults) > 0 {
				if string(b) != seen || err != nil && seen != err.Error() {
					h.Log.WithError(err).WithField("faults", faults).Warn("changed settings are unsound; the old ones stay")
				}
				if seen = string(b); err != nil {
					seen = err.Error()
				}
				continue
			}
			seen = string(b)
			if lv, _ := logrus.ParseLevel(s.Log); s.Log != cur.Log {
				h.Log.SetLevel(lv)
			}
			if !slices.Equal(s.Seeds, cur.Seeds) {
				seeds(s.Seeds)
			}
			h.bound(s)
			rest := s
			rest.Log, rest.Seeds, rest.MemoryMb = cur.Log, cur.Seeds, cur.MemoryMb
			waits := !reflect.DeepEqual(rest, cur)
			cur.Log, cur.Seeds, cur.MemoryMb = s.Log, s.Seeds, s.MemoryMb
			h.Log.WithFields(logrus.Fields{"log": s.Log, "seeds": s.Seeds, "rest_at_next_start": waits}).Info("settings changed")
		}
	}()
}
