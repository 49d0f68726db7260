// Command mfbackend stands in for one back end. It registers and beats, serves
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

	"myrtlefold/internal/daemon"
	"myrtlefold/internal/dataplane/reverseproxy"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/version"
	"myrtlefold/internal/shared/wire"
)

// Entry is a ledger's line.
type Entry struct {
	At      int64            `json:"at_ns"`
	ID      string           `json:"id"`
	Service string           `json:"service"`
	Name    string           `json:"name"`
	Inc     uint64           `json:"incarnation"`
	Domain  string           `json:"domain"`
	Method  string           `json:"method"`
	Wrong   string           `json:"meant_for,omitempty"` // the caller meant another service
	State   wire.TargetState `json:"state"`
	LeaveMs int64            `json:"leaving_for_ms,omitempty"`
	InWork  int64            `json:"in_work"`
	Cold    bool             `json:"cold,omitempty"`
}

// longest is how long a request may take that says nothing of it.
const longest = time.Hour

// Modes, set by POST /.stub/mode?set=MODE, besides leave.
const (
	modeOK      = "ok"
	modeHang    = "hang"    // answers nothing, sends no heartbeats
	modeStuck   = "stuck"   // answers no requests
	modeMute    = "mute"    // sends no heartbeats
	modeSlow    = "slow"    // slow:DURATION, what each request takes at least
	modeLose    = "lose"    // runs a request and loses the answer
	modeHalf    = "half"    // sends half an answer
	modeGarbage = "garbage" // sends what is no HTTP
	modeSurplus = "surplus" // surplus:DURATION, sends another answer that nobody asked for so much later
	modeReset   = "reset"   // resets the connection in place of an answer
	modeFail    = "fail"    // answers 500 without running
)

const (
	ledgerQueue = 4096            // lines that wait to be written
	padMost     = 8 << 20         // bytes of padding in an answer
	leaveFor    = 3 * time.Second // how long a leaving stub serves on at least
)

// stub is the back end.
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

// options are the flags that do not stand in the stub itself.
type options struct {
	bind, from, ledger string
	warm, cold         time.Duration
}

// define puts the flags on the command line.
func (s *stub) define(app *kingpin.Application) *options {
	o := &options{}
	app.Flag("service", "service that it belongs to").Required().StringVar(&s.service)
	app.Flag("name", "its name in the service").Required().StringVar(&s.name)
	app.Flag("addr", "IP:port to serve on").Required().StringVar(&s.addr)
	app.Flag("bind", "IP:port to listen on, if it is not addr itself").StringVar(&o.bind)
	app.Flag("from", "IP that its words leave from").StringVar(&o.from)
	app.Flag("domain", "domain (zone)").Default("").StringVar(&s.domain)
	app.Flag("daemon", "HTTP address of a daemon to beat to (repeat)").Required().StringsVar(&s.daemons)
	app.Flag("work", "how long an exchange takes").Default("10ms").DurationVar(&s.work)
	app.Flag("bears", "how many exchanges it works on at once; others wait").Default("64").Int64Var(&s.bears)
	app.Flag("warm", "how long it says that it is warming up").Default("0s").DurationVar(&o.warm)
	app.Flag("health", "path where it tells its health; then it takes the identity that is expected with each exchange, and turns away what it has no room for").StringVar(&s.health)
	app.Flag("named", "take a name of its own for this start, and send words of targets by name").BoolVar(&s.named)
	app.Flag("cold", "how long after its start it bears only its service's cold rate").Default("0s").DurationVar(&o.cold)
	app.Flag("ledger", "file to append the ledger to").StringVar(&o.ledger)
	return o
}

func main() {
	app := kingpin.New("mfbackend", "A stand-in back end that can fail on request and keeps a ledger of what it ran.")
	app.Version(version.Version)
	app.HelpFlag.Short('h')
	s := &stub{ledger: make(chan Entry, ledgerQueue), done: make(chan struct{})}
	o := s.define(app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "mfbackend: %v, see --help\n", err)
		os.Exit(2)
	}
	if o.from != "" {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(o.from)}}
		client.Transport = &http.Transport{DialContext: d.DialContext}
	}
	s.begin(o)
	ledger, err := openLedger(o.ledger)
	if err != nil {
		fail(err)
	}
	go s.write(ledger)
	ln, err := net.Listen("tcp", cmp.Or(o.bind, s.addr))
	if err != nil {
		fail(err)
	}
	srv := &http.Server{Handler: s.handler()}
	go srv.Serve(ln)
	go s.beats()
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT)
	<-ch
	s.leave()
	srv.Close()
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "mfbackend:", err)
	os.Exit(1)
}

// begin sets what follows from the flags and the time of the start.
func (s *stub) begin(o *options) {
	s.inc = uint64(time.Now().UnixNano())
	if s.named {
		s.name = fmt.Sprintf("%s-%x", s.name, s.inc)
		s.inc = 1
	}
	s.coldTill = time.Now().Add(o.cold)
	s.state.Store(wire.TargetReady)
	if o.warm > 0 {
		s.state.Store(wire.TargetWarming)
		time.AfterFunc(o.warm, func() { s.state.CompareAndSwap(wire.TargetWarming, wire.TargetReady) })
	}
	s.mode.Store(modeOK)
	s.slots = make(chan struct{}, s.bears)
}

// openLedger opens the file to append to; without a name the ledger goes nowhere.
func openLedger(name string) (io.Writer, error) {
	if name == "" {
		return io.Discard, nil
	}
	return os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
}

// write writes the ledger until it is closed.
func (s *stub) write(out io.Writer) {
	for e := range s.ledger {
		b, _ := json.Marshal(e)
		out.Write(append(b, '\n'))
	}
	close(s.done)
}

func (s *stub) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+config.IdentityPath, s.identity)
	if s.health != "" {
		mux.HandleFunc("GET "+s.health, s.healthy)
	}
	mux.HandleFunc("POST /.stub/mode", func(_ http.ResponseWriter, r *http.Request) {
		m := r.URL.Query().Get("set")
		s.mode.Store(m)
		if m == "leave" {
			go s.leave()
		}
	})
	mux.HandleFunc("/", s.serve)
	return mux
}

// beat is what the stub says of itself now.
func (s *stub) beat() config.TargetReport {
	d := float64(s.inWork.Load()) / float64(s.bears)
	b := config.TargetReport{Service: s.service, Name: s.name, Incarnation: s.inc, Address: s.addr, Domain: s.domain, State: s.state.Load().(wire.TargetState), Demand: &d}
	if s.health != "" {
		b.Slots, b.WarmupLeftMs = s.bears, s.coldLeft()
	}
	if s.named {
		b.Number = s.number.Add(1)
	}
	return b
}

// coldLeft is how much longer it is cold, in ms.
func (s *stub) coldLeft() int64 { return max(0, time.Until(s.coldTill).Milliseconds()) }

// names are the headers that proxies use.
var names = reverseproxy.DefaultHeaders()

// load puts the present load in an answer's headers.
func (s *stub) load(h http.Header) {
	if s.health != "" {
		h.Set(names.Load, fmt.Sprintf("%d,%d,%d", len(s.slots), s.waiting.Load(), s.bears))
	}
}

// healthAnswer is the body of a health page, notRunAnswer that of a request that is not run.
type (
	healthAnswer struct {
		State wire.TargetState `json:"state"`
	}
	notRunAnswer struct {
		Error string `json:"error"`
	}
)

// healthy answers at the health path.
func (s *stub) healthy(w http.ResponseWriter, r *http.Request) {
	if s.mode.Load() == modeHang {
		<-r.Context().Done()
		return
	}
	h := w.Header()
	h.Set(names.Identity, s.name)
	if left := s.coldLeft(); left > 0 {
		h.Set(names.WarmupLeft, strconv.FormatInt(left, 10))
	}
	if st := s.state.Load().(wire.TargetState); st != wire.TargetReady {
		s.turned(w, r, http.StatusServiceUnavailable, string(st)) // alive, and not yet or no more what 200 would say
		return
	}
	s.load(h)
	daemon.WriteJSON(w, http.StatusOK, healthAnswer{State: wire.TargetReady})
}

// repeats puts the id of the request in an answer's headers.
func repeats(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(names.Attempt); id != "" {
		w.Header().Set(names.Attempt, id)
	}
}

// turned answers that a request is not run here, and why.
func (s *stub) turned(w http.ResponseWriter, r *http.Request, status int, why string) {
	repeats(w, r)
	w.Header().Set(names.NotRun, "1")
	s.load(w.Header())
	daemon.WriteJSON(w, status, notRunAnswer{Error: why})
}

// identity answers at config.IdentityPath.
func (s *stub) identity(w http.ResponseWriter, r *http.Request) {
	if s.mode.Load() == modeHang {
		<-r.Context().Done()
		return
	}
	daemon.WriteJSON(w, http.StatusOK, s.beat())
}

var client = &http.Client{Timeout: tuning.TargetHeartbeatEvery}

// tell sends a heartbeat to a daemon and reports whether it was taken.
func (s *stub) tell(addr string) bool {
	b, _ := json.Marshal(s.beat())
	method, path := http.MethodPost, "/v1/targets"
	if s.named {
		method, path = http.MethodPut, "/v1/targets/"+s.name
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
	return resp.StatusCode < http.StatusMultipleChoices
}

// beats sends heartbeats to one daemon after another.
func (s *stub) beats() {
	for i := 0; ; i++ {
		if m := s.mode.Load(); m != modeHang && m != modeMute {
			for range s.daemons {
				if s.tell(s.daemons[i%len(s.daemons)]) {
					break
				}
				i++
			}
		}
		time.Sleep(tuning.TargetHeartbeatEvery)
	}
}

// leave says so to every daemon, serves on until its work is done and callers
// have had time to hear of it, then signs off and ends.
func (s *stub) leave() {
	if s.state.Swap(wire.TargetLeaving) != wire.TargetLeaving {
		s.leftAt.Store(time.Now().UnixNano())
	}
	for _, d := range s.daemons {
		s.tell(d)
	}
	for end := time.Now().Add(leaveFor); time.Now().Before(end) || s.inWork.Load() > 0; {
		time.Sleep(tuning.TickEvery)
	}
	for _, d := range s.daemons {
		path := fmt.Sprintf("%s/%s?incarnation=%d", s.service, s.name, s.inc)
		if s.named {
			path = s.name
		}
		req, _ := http.NewRequest(http.MethodDelete, fmt.Sprintf("http://%s/v1/targets/%s", d, path), nil)
		if resp, err := client.Do(req); err == nil {
			resp.Body.Close()
		}
	}
	close(s.ledger)
	<-s.done
	os.Exit(0)
}

// serve takes a request: it runs it, enters it in the ledger and answers, or does what its mode says.
func (s *stub) serve(w http.ResponseWriter, r *http.Request) {
	in, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.health != "" && s.turnedAway(w, r) {
		return
	}
	n := s.inWork.Add(1)
	defer s.inWork.Add(-1)
	mode, arg, _ := strings.Cut(s.mode.Load().(string), ":")
	if mode == modeHang || mode == modeStuck {
		<-r.Context().Done()
		return
	}
	work := s.workFor(r, mode, arg)
	given, endGiven := context.WithTimeout(r.Context(), timeGiven(r))
	defer endGiven()
	s.waiting.Add(1)
	select {
	case s.slots <- struct{}{}:
		s.waiting.Add(-1)
		defer func() { <-s.slots }()
	case <-given.Done():
		s.waiting.Add(-1)
		if r.Context().Err() == nil {
			s.turned(w, r, http.StatusServiceUnavailable, "the time given is over")
		}
		return
	}
	e := s.entry(r, n)
	if mode != modeFail {
		s.ledger <- e
	}
	inTime := worked(given, work)
	repeats(w, r)
	s.load(w.Header())
	if !inTime {
		daemon.WriteJSON(w, http.StatusGatewayTimeout, failure{Error: "not done in the time given", ID: e.ID, Service: e.Service})
		return
	}
	s.answer(w, mode, arg, s.answerTo(r, e, in))
}

// turnedAway refuses a request that is meant for another target or that there is no room for.
func (s *stub) turnedAway(w http.ResponseWriter, r *http.Request) bool {
	if e := r.Header.Get(names.ExpectTarget); e != "" && e != s.name {
		s.turned(w, r, http.StatusMisdirectedRequest, "this is "+s.name)
		return true
	}
	if s.waiting.Load() >= s.bears {
		s.turned(w, r, http.StatusServiceUnavailable, "no room")
		return true
	}
	return false
}

// workFor is how long a request takes.
func (s *stub) workFor(r *http.Request, mode, arg string) time.Duration {
	if ms, err := strconv.Atoi(r.Header.Get("Stub-Work-Ms")); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	if mode == modeSlow {
		d, _ := time.ParseDuration(arg)
		return max(s.work, d)
	}
	return s.work
}

// worked waits for so long, and returns false if the time given was over before. Work goes on when the caller has gone.
func worked(given context.Context, work time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(given), work)
	defer cancel()
	deadline, bounded := given.Deadline()
	if at, _ := ctx.Deadline(); !bounded || at.Before(deadline) {
		<-ctx.Done()
		return true
	}
	over := time.NewTimer(time.Until(deadline))
	defer over.Stop()
	<-over.C
	return false
}

// timeGiven is how long the request may take, as its deadline header says; without one as long as it likes.
func timeGiven(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(names.Deadline))
	if err != nil || ms < 0 {
		return longest
	}
	return time.Duration(ms) * time.Millisecond
}

// entry is the ledger's line for a request.
func (s *stub) entry(r *http.Request, inWork int64) Entry {
	e := Entry{At: time.Now().UnixNano(), ID: r.Header.Get("Exchange-Id"), Service: s.service, Name: s.name, Inc: s.inc, Domain: s.domain,
		Method: r.Method, State: s.state.Load().(wire.TargetState), InWork: inWork, Cold: s.coldLeft() > 0}
	if m := r.Header.Get("Exchange-Service"); m != "" && m != s.service {
		e.Wrong = m
	}
	if at := s.leftAt.Load(); at > 0 {
		e.LeaveMs = (e.At - at) / int64(time.Millisecond)
	}
	return e
}

// answer is the body of an answer, and failure that of a request that was asked to fail.
type (
	answer struct {
		ID      string `json:"id"`
		Inc     uint64 `json:"incarnation"`
		Name    string `json:"name"`
		Pad     string `json:"pad"`
		Service string `json:"service"`
		Sum     string `json:"sum"` // of the request's body
	}
	failure struct {
		Error   string `json:"error"`
		ID      string `json:"id"`
		Service string `json:"service"`
	}
)

func (s *stub) answerTo(r *http.Request, e Entry, in []byte) answer {
	sum := sha256.Sum256(in)
	size, _ := strconv.Atoi(r.Header.Get("Stub-Size"))
	return answer{ID: e.ID, Inc: s.inc, Name: s.name, Pad: strings.Repeat("x", min(size, padMost)), Service: s.service, Sum: hex.EncodeToString(sum[:])}
}

// answer sends an answer, as far as the mode lets it.
func (s *stub) answer(w http.ResponseWriter, mode, arg string, a answer) {
	b, _ := json.Marshal(a)
	switch mode {
	case modeSurplus:
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		late, _ := time.ParseDuration(arg)
		header := w.Header().Clone()
		header.Set("Content-Type", "application/json")
		header.Set("Content-Length", strconv.Itoa(len(b)))
		go surplusAnswer(c, header, b, a.ID, names.Attempt, late)
	case modeReset:
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			reset(c)
		}
	case modeLose, modeHalf, modeGarbage:
		c, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		switch mode {
		case modeHalf:
			fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b[:len(b)/2])
		case modeGarbage:
			fmt.Fprintf(buf, "\x00\x01 nothing that HTTP knows\r\n\r\n%s", b)
		}
		buf.Flush()
	case modeFail:
		daemon.WriteJSON(w, http.StatusInternalServerError, failure{Error: "asked to fail", ID: a.ID, Service: a.Service})
	default:
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(b)))
		w.Write(b)
	}
}
