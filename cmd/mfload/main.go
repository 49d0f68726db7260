// Command mfload is the load generator: open-loop arrivals of a deployment's mix
// against the proxies that say they are ready, clients that ask again as they
// please, and a check of every answer, at the end also against the ledgers of the
// stand-in back ends. Latency counts from the moment a request was due, so that
// a stall is felt by all that it delayed.
package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"myrtlefold/internal/dataplane/reverseproxy"
	"myrtlefold/internal/shared/version"
)

const (
	examplesKept = 20   // in a report
	retriesMost  = 5    // of a client that asks again at once
	leaveMostMs  = 2000 // how long after it said so a leaving target may get requests
)

// Kind is one sort of request in a mix.
type Kind struct {
	Name    string  `json:"name"`
	Service string  `json:"service"`
	Method  string  `json:"method"`
	Path    string  `json:"path"`
	Weight  float64 `json:"weight"`
	Body    int     `json:"body,omitempty"`
	Answer  int     `json:"answer,omitempty"`
	Hard    float64 `json:"hard,omitempty"` // part of its user agents that ask again at once, and again
}

// Mixes are the brief's callers.
var Mixes = map[string][]Kind{
	"kelani": {
		{"history", "records", "GET", "/records/history/day", 0.35, 0, 4000, 0},
		{"acknowledge", "records", "POST", "/records/alarms/ack", 0.15, 200, 0, 0.3},
		{"probes", "monitoring", "GET", "/monitoring/probes", 0.40, 0, 300, 0.2},
		{"certificate", "records", "POST", "/records/certificates", 0.10, 1500, 2000, 0},
	},
	"kiyihat": {
		{"fare", "fares", "GET", "/fares/lookup", 0.70, 0, 200, 0},
		{"buy", "payments", "POST", "/payments/tickets", 0.12, 400, 200, 0},
		{"top-up", "payments", "POST", "/payments/topups", 0.06, 300, 100, 0},
		{"timetable", "documents", "GET", "/documents/timetables", 0.08, 0, 60000, 0},
		{"receipt", "documents", "GET", "/documents/receipts", 0.04, 0, 8000, 0},
	},
}

// outcome is what became of one request.
type outcome struct {
	kind   *Kind
	id     string
	due    time.Time
	sec    float64
	status int
	ran    string // of an error: no, unknown; "" for an answer of a back end's
	retry  string
	wrong  string // what is wrong with the answer
	others bool   // it is the answer to another request
	err    string
	name   string
	hard   bool
	again  int
}

// Group is what the clients of one sort got, however often they asked.
type Group struct {
	Agents int                `json:"user_agents"`
	Asked  int                `json:"asked"`
	Served int                `json:"user_agents_served"`
	Ms     map[string]float64 `json:"latency_ms"`
}

// load is a run.
type load struct {
	gates  []string                 // proxies as the command line names them
	ready  atomic.Pointer[[]string] // addresses of those that take callers
	client *http.Client
	out    chan outcome
	live   atomic.Int64 // requests without an outcome
	prefix string       // of all ids of this run
	work   int          // ms asked of back ends, below 0: their own
	open   int64        // the most requests at once
	until  time.Time
}

// Report is what a run saw.
type Report struct {
	Seconds    float64                       `json:"seconds"`
	Offered    int                           `json:"offered"`
	Served     int                           `json:"served"`
	Refused    int                           `json:"refused"`
	Unknown    int                           `json:"unknown"`
	NoAnswer   int                           `json:"no_answer"`
	NoRetry    int                           `json:"refused_without_retry_after"`
	Wrong      int                           `json:"wrong_answers"`
	Others     int                           `json:"answers_of_others"`
	Twice      int                           `json:"ran_twice"`
	RanRefused int                           `json:"ran_though_refused"`
	Misrouted  int                           `json:"wrong_service"`
	LateLeave  int                           `json:"to_leaving_after_2s"`
	MaxLeaveMs int64                         `json:"latest_to_leaving_ms"`
	Goodput    float64                       `json:"goodput_per_s"`
	MedianRefl float64                       `json:"refusal_median_ms"`
	Ms         map[string]float64            `json:"latency_ms"`
	Kinds      map[string]map[string]float64 `json:"kinds"`
	Groups     map[string]*Group             `json:"groups"`
	RetryAfter map[string]int                `json:"retry_after,omitempty"`
	PerSecond  []map[string]int              `json:"per_second,omitempty"`
	Examples   []string                      `json:"examples,omitempty"`
}

func main() {
	app := kingpin.New("mfload", "Sends a deployment's mix of exchanges and checks every answer.")
	app.Version(version.Version)
	app.HelpFlag.Short('h')
	gates := app.Flag("gate", "caller address of a proxy, or ADDR=HTTP to ask HTTP/ready whether it takes callers (repeat)").Required().Strings()
	mix := app.Flag("mix", "kelani, kiyihat, or a JSON file").Default("kiyihat").String()
	rate := app.Flag("rate", "exchanges a second").Default("100").Float64()
	dur := app.Flag("for", "how long").Default("10s").Duration()
	ledger := app.Flag("ledgers", "folder of the back ends' ledgers, checked at the end").String()
	work := app.Flag("work", "milliseconds of work asked of the back end (default: its own)").Default("-1").Int()
	out := app.Flag("output", "text or json").Short('o').Default("text").Enum("text", "json")
	curve := app.Flag("per-second", "also report each second").Bool()
	seed := app.Flag("seed", "seed of arrivals and mix").Default("1").Uint64()
	open := app.Flag("open", "most exchanges open at once; further arrivals count as unanswered").Default("4000").Int64()
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "mfload: %v, see --help\n", err)
		os.Exit(2)
	}
	kinds := Mixes[*mix]
	if kinds == nil {
		b, err := os.ReadFile(*mix)
		if err == nil {
			err = json.Unmarshal(b, &kinds)
		}
		if err != nil || len(kinds) == 0 {
			fmt.Fprintf(os.Stderr, "mfload: mix %s: %v\n", *mix, err)
			os.Exit(2)
		}
	}
	l := &load{gates: *gates, out: make(chan outcome, 4096), prefix: fmt.Sprintf("%x-", time.Now().UnixNano()), work: *work, open: *open,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }, Timeout: 15 * time.Second}}
	l.watch()
	go func() {
		for range time.Tick(300 * time.Millisecond) {
			l.watch()
		}
	}()
	l.until = time.Now().Add(*dur)
	go l.arrivals(kinds, *rate, *dur, rand.New(rand.NewPCG(*seed, 1)))
	rep := l.collect(*dur, *ledger, *curve)
	if *out == "json" {
		json.NewEncoder(os.Stdout).Encode(rep)
	} else {
		rep.print()
	}
	if rep.Wrong+rep.Twice+rep.RanRefused+rep.Misrouted+rep.LateLeave+rep.NoRetry > 0 {
		os.Exit(1)
	}
}

// watch keeps the list of proxies that take callers, as the platform would.
func (l *load) watch() {
	type r struct {
		addr string
		ok   bool
	}
	ch := make(chan r, len(l.gates))
	for _, g := range l.gates {
		addr, admin, asked := strings.Cut(g, "=")
		go func() {
			if !asked {
				ch <- r{addr, true}
				return
			}
			ctx, cancel := context.WithTimeout(context.Background(), 250*time.Millisecond)
			defer cancel()
			req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/ready", nil)
			resp, err := l.client.Do(req)
			if err == nil {
				resp.Body.Close()
			}
			ch <- r{addr, err == nil && resp.StatusCode == http.StatusOK}
		}()
	}
	var ready, all []string
	for range l.gates {
		x := <-ch
		all = append(all, x.addr)
		if x.ok {
			ready = append(ready, x.addr)
		}
	}
	if len(ready) == 0 {
		ready = all
	}
	slices.Sort(ready)
	l.ready.Store(&ready)
}

// arrivals starts requests at random intervals, each drawn from the mix by weight.
func (l *load) arrivals(kinds []Kind, rate float64, dur time.Duration, rnd *rand.Rand) {
	total := 0.0
	for _, k := range kinds {
		total += k.Weight
	}
	start := time.Now()
	due := start
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rnd.ExpFloat64() * float64(time.Second) / rate))
		if due.Sub(start) > dur {
			break
		}
		time.Sleep(time.Until(due))
		x := rnd.Float64() * total
		i := 0
		for ; i < len(kinds)-1 && x >= kinds[i].Weight; i++ {
			x -= kinds[i].Weight
		}
		k := &kinds[i]
		hard := rnd.Float64() < k.Hard
		pick := rnd.Uint64()
		l.start(k, fmt.Sprintf("%s%d", l.prefix, n), due, hard, pick, 0)
	}
	for l.live.Load() > 0 {
		time.Sleep(5 * time.Millisecond)
	}
	close(l.out)
}

// start begins one request, unless there are too many.
func (l *load) start(k *Kind, id string, due time.Time, hard bool, pick uint64, again int) {
	if l.live.Load() >= l.open {
		l.out <- outcome{kind: k, id: id, due: due, err: "too many open"}
		return
	}
	l.live.Add(1)
	go func() {
		defer l.live.Add(-1)
		o := l.one(k, id, due, pick)
		o.hard, o.again = hard, again
		l.out <- o
		// A hard client asks again at once as long as it is refused, each time as a new request.
		if hard && o.ran != "" && again < retriesMost && time.Now().Before(l.until) {
			l.start(k, fmt.Sprintf("%s.%d", id, again+1), time.Now(), hard, pick*7919+1, again+1)
		}
	}()
}

// one sends a request and checks its answer.
func (l *load) one(k *Kind, id string, due time.Time, pick uint64) (o outcome) {
	o = outcome{kind: k, id: id, due: due}
	defer func() { o.sec = time.Since(due).Seconds() }()
	ready := *l.ready.Load()
	addr := ready[pick%uint64(len(ready))]
	body := bytes.Repeat([]byte{'a' + byte(pick%26)}, k.Body)
	var rd io.Reader
	if k.Body > 0 {
		rd = bytes.NewReader(body)
	}
	req, err := http.NewRequest(k.Method, "http://"+addr+k.Path, rd)
	if err != nil {
		o.err = err.Error()
		return
	}
	req.GetBody = nil // the standard client must not send anything again by itself
	req.Header.Set("Exchange-Id", id)
	req.Header.Set("Exchange-Service", k.Service)
	req.Header.Set(reverseproxy.DefaultHeaders().Attempt, id) // its answer must repeat it
	req.Header.Set("Stub-Size", strconv.Itoa(k.Answer))
	if l.work >= 0 {
		req.Header.Set("Stub-Work-Ms", strconv.Itoa(l.work))
	}
	resp, err := l.client.Do(req)
	if err != nil {
		o.err = err.Error()
		return
	}
	defer resp.Body.Close()
	o.status, o.ran, o.retry = resp.StatusCode, resp.Header.Get(reverseproxy.RanHeader), resp.Header.Get("Retry-After")
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		o.err = "cut: " + err.Error()
		return
	}
	if o.ran != "" {
		var e struct {
			Error struct{ Code, Ran string }
		}
		if json.Unmarshal(b, &e) != nil || e.Error.Ran != o.ran {
			o.wrong = fmt.Sprintf("error of another shape: %.80q", b)
		}
		o.name = e.Error.Code
		return
	}
	if o.status >= http.StatusInternalServerError {
		return
	}
	var a struct{ ID, Service, Sum, Pad, Name string }
	sum := sha256.Sum256(body)
	switch {
	case json.Unmarshal(b, &a) != nil:
		o.wrong = fmt.Sprintf("not the back end's answer: %.80q", b)
	case a.ID != id:
		o.wrong, o.others = "the answer is to exchange "+a.ID, true
	case a.Service != k.Service:
		o.wrong = "the answer is from service " + a.Service
	case a.Sum != hex.EncodeToString(sum[:]):
		o.wrong = "the back end read another body"
	case len(a.Pad) != k.Answer:
		o.wrong = fmt.Sprintf("%d of %d bytes", len(a.Pad), k.Answer)
	}
	return
}

// The two sorts of clients, by what they do when they are refused.
const (
	politeClients = "polite"  // they ask no more
	hardClients   = "at_once" // they ask again at once
)

// tally is what a run saw so far, from which its report is made.
type tally struct {
	*Report
	latencies []float64            // of answers, in ms
	refusals  []float64            // the same of refusals
	perKind   map[string][]float64 // latencies by kind of request
	perGroup  map[string][]float64 // latencies by sort of client
	refused   map[string]bool      // ids of requests that did not run
	unsafe    map[string]bool      // ids of requests that must not run twice
	seconds   map[int]map[string]int
	begin     time.Time
}

func newTally() *tally {
	report := &Report{
		Ms:         map[string]float64{},
		Kinds:      map[string]map[string]float64{},
		RetryAfter: map[string]int{},
		Groups:     map[string]*Group{politeClients: {}, hardClients: {}},
	}
	return &tally{Report: report, perKind: map[string][]float64{}, perGroup: map[string][]float64{},
		refused: map[string]bool{}, unsafe: map[string]bool{}, seconds: map[int]map[string]int{}, begin: time.Now()}
}

// add counts one outcome.
func (t *tally) add(o outcome) {
	t.Offered++
	if o.kind.Method == http.MethodPost {
		t.unsafe[o.id] = true
	}
	who := politeClients
	if o.hard {
		who = hardClients
	}
	if t.Groups[who].Asked++; o.again == 0 {
		t.Groups[who].Agents++
	}
	second := int(o.due.Sub(t.begin).Seconds())
	if t.seconds[second] == nil {
		t.seconds[second] = map[string]int{}
	}
	t.seconds[second]["offered"]++
	t.seconds[second][t.class(o, who)]++
}

// class counts an outcome by what it was, and returns the name of that.
func (t *tally) class(o outcome, who string) string {
	ms := o.sec * 1000
	switch {
	case o.wrong != "":
		t.Wrong++
		if o.others {
			t.Others++
		}
		t.example("%s %s: %s", o.kind.Name, o.id, o.wrong)
		return "wrong"
	case o.err != "":
		t.NoAnswer++
		t.example("%s %s: %s", o.kind.Name, o.id, o.err)
		return "no_answer"
	case o.ran == "no":
		t.Refused++
		t.refused[o.id] = true
		t.refusals = append(t.refusals, ms)
		if o.retry == "" && o.status == http.StatusServiceUnavailable {
			t.NoRetry++
		}
		t.RetryAfter[o.retry]++
		t.example("%s %s: %d %s", o.kind.Name, o.id, o.status, o.name)
		return "refused"
	case o.ran == "unknown" || o.status >= http.StatusInternalServerError:
		t.Unknown++
		t.example("%s %s: %d %s %s", o.kind.Name, o.id, o.status, o.ran, o.name)
		return "unknown"
	}
	t.Served++
	t.latencies = append(t.latencies, ms)
	t.perKind[o.kind.Name] = append(t.perKind[o.kind.Name], ms)
	t.Groups[who].Served++
	t.perGroup[who] = append(t.perGroup[who], ms)
	return "served"
}

// collect takes all outcomes and makes the report.
func (l *load) collect(dur time.Duration, ledgers string, curve bool) *Report {
	t := newTally()
	for o := range l.out {
		t.add(o)
	}
	t.Seconds = time.Since(t.begin).Seconds()
	t.Goodput = float64(t.Served) / dur.Seconds()
	t.Ms = quantiles(t.latencies)
	for k, v := range t.perKind {
		t.Kinds[k] = quantiles(v)
	}
	for k, v := range t.perGroup {
		t.Groups[k].Ms = quantiles(v)
	}
	t.MedianRefl = quantiles(t.refusals)["p50"]
	if curve {
		for _, s := range slices.Sorted(maps.Keys(t.seconds)) {
			t.PerSecond = append(t.PerSecond, t.seconds[s])
		}
	}
	if ledgers != "" {
		t.check(ledgers, l.prefix, t.refused, t.unsafe)
	}
	return t.Report
}

// example keeps some of what was not as wanted, for people.
func (r *Report) example(f string, a ...any) {
	if len(r.Examples) < examplesKept {
		r.Examples = append(r.Examples, fmt.Sprintf(f, a...))
	}
}

// quantiles returns some quantiles of l and how many there are; it sorts l.
func quantiles(l []float64) map[string]float64 {
	m := map[string]float64{}
	if len(l) == 0 {
		return m
	}
	slices.Sort(l)
	for n, q := range map[string]float64{"p50": 0.5, "p90": 0.9, "p99": 0.99, "max": 1} {
		m[n] = l[min(len(l)-1, int(q*float64(len(l))))]
	}
	m["count"] = float64(len(l))
	return m
}

// check reads the back ends' ledgers of what they ran, and counts what should not have run.
func (r *Report) check(dir, prefix string, refused, unsafe map[string]bool) {
	files, _ := filepath.Glob(filepath.Join(dir, "*.ledger"))
	ran := map[string]int{}
	for _, f := range files {
		fh, err := os.Open(f)
		if err != nil {
			continue
		}
		sc := bufio.NewScanner(fh)
		for sc.Scan() {
			var e struct {
				ID      string `json:"id"`
				Wrong   string `json:"meant_for"`
				Method  string `json:"method"`
				LeaveMs int64  `json:"leaving_for_ms"`
				Name    string `json:"name"`
			}
			if json.Unmarshal(sc.Bytes(), &e) != nil || !strings.HasPrefix(e.ID, prefix) {
				continue
			}
			ran[e.ID]++
			if e.Wrong != "" {
				r.Misrouted++
				r.example("%s was meant for %s, ran at %s", e.ID, e.Wrong, e.Name)
			}
			r.MaxLeaveMs = max(r.MaxLeaveMs, e.LeaveMs)
			if e.LeaveMs > leaveMostMs {
				r.LateLeave++
				r.example("%s ran at %s, leaving for %d ms", e.ID, e.Name, e.LeaveMs)
			}
		}
		fh.Close()
	}
	for id, n := range ran {
		if n > 1 && unsafe[id] {
			r.Twice++
			r.example("%s ran %d times", id, n)
		}
		if refused[id] {
			r.RanRefused++
			r.example("%s ran though refused", id)
		}
	}
}

func (r *Report) print() {
	fmt.Printf("offered %d, served %d (%.0f/s), refused %d, unknown %d, no answer %d in %.1f s\n", r.Offered, r.Served, r.Goodput, r.Refused, r.Unknown, r.NoAnswer, r.Seconds)
	fmt.Printf("latency ms from due: p50 %.1f p90 %.1f p99 %.1f max %.1f; refusals p50 %.1f\n", r.Ms["p50"], r.Ms["p90"], r.Ms["p99"], r.Ms["max"], r.MedianRefl)
	for _, k := range slices.Sorted(maps.Keys(r.Kinds)) {
		fmt.Printf("  %-12s %6.0f  p50 %.1f p99 %.1f\n", k, r.Kinds[k]["count"], r.Kinds[k]["p50"], r.Kinds[k]["p99"])
	}
	for _, k := range []string{politeClients, hardClients} {
		g := r.Groups[k]
		fmt.Printf("  %-12s %6d user agents asked %d times, %d were served  p50 %.1f p99 %.1f\n", k, g.Agents, g.Asked, g.Served, g.Ms["p50"], g.Ms["p99"])
	}
	fmt.Printf("ran twice %d, ran though refused %d, wrong answers %d, wrong service %d, to leaving after 2 s %d (latest %d ms), refused without Retry-After %d\n",
		r.Twice, r.RanRefused, r.Wrong, r.Misrouted, r.LateLeave, r.MaxLeaveMs, r.NoRetry)
	for _, s := range r.PerSecond {
		b, _ := json.Marshal(s)
		fmt.Println(string(b))
	}
	for _, e := range r.Examples {
		fmt.Println("  e.g.", e)
	}
}
