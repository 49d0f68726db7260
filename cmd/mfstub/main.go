// Command mfstub stands in for one back end. It registers and beats, serves
// its identity, keeps a ledger of every request that it ran, and on request
// misbehaves in the ways that the fleet must bear: it hangs, runs a request
// and loses the answer, sends garbage or half an answer, is slow, fails, warms
// up, or leaves. It stands for a back end's code, so only its identity page or health
// path, its words and the headers of requests are part of the system's contract.
package main

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"myrtlefold/forward"
	"myrtlefold/host"
	"myrtlefold/limit"
	"myrtlefold/model"
)

// Entry is a ledger's line.
type Entry struct {
	At      int64  `json:"at_ns"`
	ID      string `json:"id"`
	Service string `json:"service"`
	Name    string `json:"name"`
	Inc     uint64 `json:"incarnation"`
	Domain  string `json:"domain"`
	Method  string `json:"method"`
	Wrong   string `json:"meant_for,omitempty"` // the caller meant another service
	State   string `json:"state"`
	LeaveMs int64  `json:"leaving_for_ms,omitempty"`
	InWork  int64  `json:"in_work"`
	Cold    bool   `json:"cold,omitempty"`
}

type stub struct {
	service, name, addr, domain string
	inc                         uint64
	daemons                     []string
	work                        time.Duration
	bears                       int64
	state                       atomic.Value
	mode                        atomic.Value
	leftAt                      atomic.Int64
	inWork                      atomic.Int64
	slots                       chan struct{}
	health                      string    // where it is asked for its health; "": it is asked for its identity
	named                       bool      // its name is this start's alone, and its words go by it
	coldTill                    time.Time // it bears only its service's cold rate until then
	number                      atomic.Uint64
	waiting                     atomic.Int64
	ledger                      chan Entry
	done                        chan struct{}
}

func main() {
	app := kingpin.New("mfstub", "A stand-in back end that can fail on request and keeps a ledger of what it ran.")
	app.Version(host.Version)
	app.HelpFlag.Short('h')
	s := &stub{ledger: make(chan Entry, 4096), done: make(chan struct{})}
	app.Flag("service", "service that it belongs to").Required().StringVar(&s.service)
	app.Flag("name", "its name in the service").Required().StringVar(&s.name)
	app.Flag("addr", "IP:port to serve on").Required().StringVar(&s.addr)
	bind := app.Flag("bind", "IP:port to listen on, if it is not addr itself").String()
	from := app.Flag("from", "IP that its words leave from").String()
	app.Flag("domain", "domain (zone)").Default("").StringVar(&s.domain)
	app.Flag("daemon", "HTTP address of a daemon to beat to (repeat)").Required().StringsVar(&s.daemons)
	app.Flag("work", "how long an exchange takes").Default("10ms").DurationVar(&s.work)
	app.Flag("bears", "how many exchanges it works on at once; others wait").Default("64").Int64Var(&s.bears)
	warm := app.Flag("warm", "how long it says that it is warming up").Default("0s").Duration()
	app.Flag("health", "path where it tells its health; then it takes the identity that is expected with each exchange, and turns away what it has no room for").StringVar(&s.health)
	app.Flag("named", "take a name of its own for this start, and send words of targets by name").BoolVar(&s.named)
	cold := app.Flag("cold", "how long after its start it bears only its service's cold rate").Default("0s").Duration()
	led := app.Flag("ledger", "file to append the ledger to").String()
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "mfstub: %v, see --help\n", err)
		os.Exit(2)
	}
	if *from != "" {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(*from)}}
		client.Transport = &http.Transport{DialContext: d.DialContext}
	}
	s.inc = uint64(time.Now().UnixNano())
	if s.named {
		s.name = fmt.Sprintf("%s-%x", s.name, s.inc)
		s.inc = 1
	}
	s.coldTill = time.Now().Add(*cold)
	s.state.Store(model.Ready)
	if *warm > 0 {
		s.state.Store(model.Warming)
		time.AfterFunc(*warm, func() { s.state.CompareAndSwap(model.Warming, model.Ready) })
	}
	s.mode.Store("ok")
	s.slots = make(chan struct{}, s.bears)
	var out io.Writer = io.Discard
	if *led != "" {
		f, err := os.OpenFile(*led, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			fmt.Fprintln(os.Stderr, "mfstub:", err)
			os.Exit(1)
		}
		out = f
	}
	go func() {
		for e := range s.ledger {
			b, _ := json.Marshal(e)
			out.Write(append(b, '\n'))
		}
		close(s.done)
	}()
	ln, err := net.Listen("tcp", cmp.Or(*bind, s.addr))
	if err != nil {
		fmt.Fprintln(os.Stderr, "mfstub:", err)
		os.Exit(1)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+model.IdentityPath, s.identity)
	if s.health != "" {
		mux.HandleFunc("GET "+s.health, s.healthy)
	}
	mux.HandleFunc("POST /.stub/mode", func(w http.ResponseWriter, r *http.Request) {
		m := r.URL.Query().Get("set")
		s.mode.Store(m)
		if m == "leave" {
			go s.leave()
		}
	})
	mux.HandleFunc("/", s.serve)
	srv := &http.Server{Handler: mux}
	go srv.Serve(ln)
	go s.beats()
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT)
	<-ch
	s.leave()
	srv.Close()
}

func (s *stub) beat() model.Beat {
	d := float64(s.inWork.Load()) / float64(s.bears)
	b := model.Beat{Service: s.service, Name: s.name, Incarnation: s.inc, Address: s.addr, Domain: s.domain, State: s.state.Load().(string), Demand: &d}
	if s.health != "" {
		b.Slots, b.ColdLeftMs = s.bears, s.coldLeft()
	}
	if s.named {
		b.Number = s.number.Add(1)
	}
	return b
}

func (s *stub) coldLeft() int64 { return max(0, time.Until(s.coldTill).Milliseconds()) }

var names = forward.Defaults()

// load has an answer tell how much there is to do here.
func (s *stub) load(h http.Header) {
	if s.health != "" {
		h.Set(names.Load, fmt.Sprintf("%d,%d,%d", len(s.slots), s.waiting.Load(), s.bears))
	}
}

func (s *stub) healthy(w http.ResponseWriter, r *http.Request) {
	if s.mode.Load() == "hang" {
		<-r.Context().Done()
		return
	}
	h := w.Header()
	h.Set(names.Identity, s.name)
	if left := s.coldLeft(); left > 0 {
		h.Set(names.Cold, strconv.FormatInt(left, 10))
	}
	if st := s.state.Load().(string); st != model.Ready {
		s.turned(w, r, http.StatusServiceUnavailable, st) // alive, and not yet or no more what 200 would say
		return
	}
	s.load(h)
	host.WriteJSON(w, 200, map[string]any{"state": model.Ready})
}

// repeats has an answer tell whose it is.
func repeats(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(names.Attempt); id != "" {
		w.Header().Set(names.Attempt, id)
	}
}

// turned says that a request is not run here, and why.
func (s *stub) turned(w http.ResponseWriter, r *http.Request, status int, why string) {
	repeats(w, r)
	w.Header().Set(names.NotRun, "1")
	s.load(w.Header())
	host.WriteJSON(w, status, map[string]any{"error": why})
}

func (s *stub) identity(w http.ResponseWriter, r *http.Request) {
	if s.mode.Load() == "hang" {
		<-r.Context().Done()
		return
	}
	host.WriteJSON(w, 200, s.beat())
}

var client = &http.Client{Timeout: limit.BeatEvery}

func (s *stub) tell(addr string) bool {
	b, _ := json.Marshal(s.beat())
	method, path := "POST", "/v1/targets"
	if s.named {
		method, path = "PUT", "/v1/targets/"+s.name
	}
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(b))
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode < 300
}

func (s *stub) beats() {
	for i := 0; ; i++ {
		if m := s.mode.Load(); m != "hang" && m != "mute" {
			for range s.daemons {
				if s.tell(s.daemons[i%len(s.daemons)]) {
					break
				}
				i++
			}
		}
		time.Sleep(limit.BeatEvery)
	}
}

// leave says so to every daemon, serves on until its work is done and callers
// have had time to hear of it, then signs off and ends.
func (s *stub) leave() {
	if s.state.Swap(model.Leaving) != model.Leaving {
		s.leftAt.Store(time.Now().UnixNano())
	}
	for _, d := range s.daemons {
		s.tell(d)
	}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end) || s.inWork.Load() > 0; {
		time.Sleep(limit.TickEvery)
	}
	for _, d := range s.daemons {
		path := fmt.Sprintf("%s/%s?incarnation=%d", s.service, s.name, s.inc)
		if s.named {
			path = s.name
		}
		req, _ := http.NewRequest("DELETE", fmt.Sprintf("http://%s/v1/targets/%s", d, path), nil)
		if resp, err := client.Do(req); err == nil {
			resp.Body.Close()
		}
	}
	close(s.ledger)
	<-s.done
	os.Exit(0)
}

func (s *stub) serve(w http.ResponseWriter, r *http.Request) {
	in, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.health != "" {
		if e := r.Header.Get(names.Expect); e != "" && e != s.name {
			s.turned(w, r, http.StatusMisdirectedRequest, "this is "+s.name)
			return
		}
		if s.waiting.Load() >= s.bears {
			s.turned(w, r, http.StatusServiceUnavailable, "no room")
			return
		}
	}
	n := s.inWork.Add(1)
	defer s.inWork.Add(-1)
	mode, arg, _ := strings.Cut(s.mode.Load().(string), ":")
	if mode == "hang" || mode == "stuck" {
		<-r.Context().Done()
		return
	}
	work := s.work
	if mode == "slow" {
		d, _ := time.ParseDuration(arg)
		work = max(work, d)
	}
	if ms, err := strconv.Atoi(r.Header.Get("Stub-Work-Ms")); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	s.waiting.Add(1)
	select {
	case s.slots <- struct{}{}:
		s.waiting.Add(-1)
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		s.waiting.Add(-1)
		return
	}
	e := Entry{At: time.Now().UnixNano(), ID: r.Header.Get("Exchange-Id"), Service: s.service, Name: s.name, Inc: s.inc, Domain: s.domain,
		Method: r.Method, State: s.state.Load().(string), InWork: n, Cold: s.coldLeft() > 0}
	if m := r.Header.Get("Exchange-Service"); m != "" && m != s.service {
		e.Wrong = m
	}
	if at := s.leftAt.Load(); at > 0 {
		e.LeaveMs = (e.At - at) / 1e6
	}
	if mode != "fail" {
		s.ledger <- e
	}
	ctx, cancel := context.WithTimeout(context.Background(), work)
	<-ctx.Done()
	cancel()
	sum := sha256.Sum256(in)
	size, _ := strconv.Atoi(r.Header.Get("Stub-Size"))
	b, _ := json.Marshal(map[string]any{"id": e.ID, "service": s.service, "name": s.name, "incarnation": s.inc,
		"sum": hex.EncodeToString(sum[:]), "pad": strings.Repeat("x", min(size, 8<<20))})
	repeats(w, r)
	s.load(w.Header())
	switch mode {
	case "surplus":
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		late, _ := time.ParseDuration(arg)
		header := w.Header().Clone()
		header.Set("Content-Type", "application/json")
		header.Set("Content-Length", strconv.Itoa(len(b)))
		go surplusAnswer(c, header, b, e.ID, names.Attempt, late)
		return
	case "reset":
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			reset(c)
		}
		return
	case "lose", "half", "garbage":
		c, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		switch mode {
		case "half":
			fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b[:len(b)/2])
		case "garbage":
			fmt.Fprintf(buf, "\x00\x01 nothing that HTTP knows\r\n\r\n%s", b)
		}
		buf.Flush()
		return
	case "fail":
		host.WriteJSON(w, 500, map[string]any{"id": e.ID, "service": s.service, "error": "asked to fail"})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.Write(b)
}
