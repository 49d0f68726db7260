// Package carry takes callers' HTTP exchanges to back ends. It keeps its own
// pool of pipes, each an http.ClientConn, because the standard Transport sends
// some exchanges again by itself. A pipe's identity is checked before its first
// exchange, a pipe whose target has left the table takes no other, and whether
// anything of an exchange was written is read off the pipe's own byte count:
// only then is it known whether an exchange may have run.
//
// Answers pass unaltered. Errors have one JSON shape that says whether the
// exchange ran: no, or unknown. An answer that is cut cuts the caller's pipe.
package carry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/textproto"
	"path"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/gate"
	"myrtlefold/limit"
	"myrtlefold/model"
	"myrtlefold/wire"
)

// Headers of the project's own.
const (
	// DeadlineHeader is how many milliseconds the caller still gives; it is passed on with what is left.
	DeadlineHeader = "Myrtlefold-Deadline-Ms"
	// RanHeader repeats an error's word on whether the exchange ran.
	RanHeader = "Myrtlefold-Ran"
)

// Headers are the names of the headers that exchanges carry beside the callers' own.
type Headers struct {
	Deadline string // ms that the caller still gives; passed on with what is left
	Ran      string // an error's word on whether the exchange ran: no or unknown
	Attempt  string // the exchange's id, which targets echo
	Expect   string // the identity that is expected of the target
	NotRun   string // a target's word that it did not run the exchange
	Load     string // a target's running, waiting, slots
	Identity string // a target's identity in its health answers
	Cold     string // ms that a target is still cold, in its health answers
	Proof    string // without it a 2xx is no target's answer; "": nothing is asked
}

// DefaultHeaders are the product's own.
func DefaultHeaders() Headers {
	return Headers{Deadline: DeadlineHeader, Ran: RanHeader, Attempt: "Myrtlefold-Attempt", Expect: "Myrtlefold-Expect", NotRun: "Myrtlefold-Not-Run",
		Load: "Myrtlefold-Load", Identity: "Myrtlefold-Identity", Cold: "Myrtlefold-Cold-Ms"}
}

// Owner passes events to the proxy's owner. Ask waits for the Give or Refuse
// that answers an event for an exchange.
type Owner struct {
	Now  func() time.Duration
	Tell func(ev any)
	Ask  func(ctx context.Context, id uint64, ev any) any
}

// Counts are the carrier's counters.
type Counts struct {
	Exchanges, Served, Unknown, NotRun, Cut, Gone, Opened, Reused, Foreign atomic.Uint64
}

type pipe struct {
	cc   *http.ClientConn
	out  *writes
	id   wire.ID
	idle time.Time
}

// writes is what has gone out on a pipe, and until when the next exchange's first
// byte may.
type writes struct {
	n    atomic.Int64
	till atomic.Int64 // 0: at any time
	now  func() time.Duration
}

type countConn struct {
	net.Conn
	w *writes
}

var errStale = errors.New("the choice of this target is too old")

func (c countConn) Write(b []byte) (int, error) {
	if till := c.w.till.Load(); till != 0 {
		if int64(c.w.now()) > till {
			return 0, errStale
		}
		c.w.till.Store(0)
	}
	n, err := c.Conn.Write(b)
	c.w.n.Add(int64(n))
	return n, err
}

// Pool holds idle pipes; one goroutine owns them.
type Pool struct {
	take chan takeReq
	give chan *pipe
	live chan map[wire.ID]string
	stop chan struct{}
}

type takeReq struct {
	id    wire.ID
	reply chan *pipe
}

func NewPool() *Pool {
	p := &Pool{make(chan takeReq), make(chan *pipe), make(chan map[wire.ID]string), make(chan struct{})}
	go p.run()
	return p
}

func (p *Pool) run() {
	idle := map[wire.ID][]*pipe{}
	var live map[wire.ID]string
	sweep := time.NewTicker(limit.PipeIdle / 4)
	defer sweep.Stop()
	drop := func(id wire.ID, keep func(*pipe) bool) {
		l := slices.DeleteFunc(idle[id], func(x *pipe) bool {
			if keep(x) {
				return false
			}
			x.cc.Close()
			return true
		})
		if idle[id] = l; len(l) == 0 {
			delete(idle, id)
		}
	}
	for {
		select {
		case r := <-p.take:
			drop(r.id, func(x *pipe) bool { return x.cc.Err() == nil })
			if l := idle[r.id]; len(l) > 0 {
				r.reply <- l[len(l)-1]
				idle[r.id] = l[:len(l)-1]
			} else {
				r.reply <- nil
			}
		case x := <-p.give:
			if _, ok := live[x.id]; !ok || len(idle[x.id]) >= limit.PipesIdleMax {
				x.cc.Close()
				continue
			}
			x.idle = time.Now()
			idle[x.id] = append(idle[x.id], x)
		case live = <-p.live:
			for _, id := range slices.Collect(maps.Keys(idle)) {
				if _, ok := live[id]; !ok {
					drop(id, func(*pipe) bool { return false })
				}
			}
		case <-sweep.C:
			for _, id := range slices.Collect(maps.Keys(idle)) {
				drop(id, func(x *pipe) bool { return time.Since(x.idle) < limit.PipeIdle })
			}
		case <-p.stop:
			for _, id := range slices.Collect(maps.Keys(idle)) {
				drop(id, func(*pipe) bool { return false })
			}
			return
		}
	}
}

// Live tells the pool which targets the table holds.
func (p *Pool) Live(m map[wire.ID]string) { p.live <- m }

// Close closes all idle pipes.
func (p *Pool) Close() { close(p.stop) }

var errForeign = errors.New("another identity answers at the target's address")

// Dial opens a pipe; from is where it leaves from, nil for the system's choice.
func Dial(ctx context.Context, addr string, from net.Addr) (*http.ClientConn, error) {
	return dial(ctx, addr, from, &writes{})
}

func dial(ctx context.Context, addr string, from net.Addr, w *writes) (*http.ClientConn, error) {
	t := &http.Transport{DisableCompression: true, MaxResponseHeaderBytes: 4 * limit.HeaderMax,
		DialContext: func(ctx context.Context, network, a string) (net.Conn, error) {
			d := net.Dialer{LocalAddr: from}
			c, err := d.DialContext(ctx, network, a)
			if err != nil {
				return nil, err
			}
			return countConn{c, w}, nil
		}}
	return t.NewClientConn(ctx, "http", addr)
}

// Identify asks a back end who it is.
func Identify(ctx context.Context, rt http.RoundTripper, addr string) (*model.Beat, error) {
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+addr+model.IdentityPath, nil)
	if err != nil {
		return nil, err
	}
	resp, err := rt.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, 4096))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != 200 {
		return nil, errors.Newf("identity answered %d", resp.StatusCode)
	}
	var beat model.Beat
	return &beat, errors.Wrap(json.Unmarshal(b, &beat), "identity")
}

func (c *Carrier) open(ctx context.Context, t *wire.Target) (*pipe, error) {
	ctx, cancel := context.WithTimeout(ctx, limit.DialCap)
	defer cancel()
	w := &writes{now: c.owner.Now}
	cc, err := dial(ctx, t.Addr, c.From, w)
	if err != nil {
		return nil, err
	}
	b, err := Identify(ctx, cc, t.Addr)
	if err != nil {
		cc.Close()
		return nil, err
	}
	if b.ID() != t.ID() {
		cc.Close()
		c.Counts.Foreign.Add(1)
		return nil, errors.Wrapf(errForeign, "%s/%s/%d", b.Service, b.Name, b.Incarnation)
	}
	c.Counts.Opened.Add(1)
	return &pipe{cc: cc, out: w, id: t.ID()}, nil
}

func (c *Carrier) pipe(ctx context.Context, t *wire.Target) (*pipe, error) {
	r := takeReq{t.ID(), make(chan *pipe, 1)}
	c.pool.take <- r
	if p := <-r.reply; p != nil {
		c.Counts.Reused.Add(1)
		return p, nil
	}
	return c.open(ctx, t)
}

// Carrier is the handler of the callers' address.
type Carrier struct {
	owner  Owner
	pool   *Pool
	nextID atomic.Uint64
	Counts Counts
	// Observe is told each exchange's service, status and seconds.
	Observe func(svc string, status int, sec float64)
	// Leaving has each answer end its caller's pipe, so that callers move to other proxies.
	Leaving atomic.Bool
	// From is where pipes leave from, nil for the system's choice.
	From net.Addr
}

func New(o Owner, p *Pool) *Carrier {
	return &Carrier{owner: o, pool: p, Observe: func(string, int, float64) {}}
}

var hop = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

func strip(h http.Header) {
	for _, v := range h.Values("Connection") {
		for f := range strings.SplitSeq(v, ",") {
			if f = textproto.TrimString(f); f != "" {
				h.Del(f)
			}
		}
	}
	for _, f := range hop {
		h.Del(f)
	}
}

func headerSize(h http.Header) (n int) {
	for k, vs := range h {
		for _, v := range vs {
			n += len(k) + len(v) + 4
		}
	}
	return n
}

// plain says whether a path means what it says, so that rule and back end read it alike.
func plain(r *http.Request) bool {
	p := r.URL.Path
	if !strings.HasPrefix(p, "/") || strings.Contains(p, "//") || strings.ContainsAny(p, "\x00\\") {
		return false
	}
	raw := strings.ToLower(r.URL.EscapedPath())
	if strings.Contains(raw, "%2f") || strings.Contains(raw, "%5c") {
		return false
	}
	return path.Clean(p) == p || path.Clean(p)+"/" == p
}

// After is a Retry-After header's value: seconds, with fractions below one.
func After(d time.Duration) string {
	if d >= time.Second {
		return strconv.Itoa(int((d + time.Second - 1) / time.Second))
	}
	return strconv.FormatFloat(max(0.001, d.Seconds()), 'f', 3, 64)
}

// Error answers with the one error shape.
func Error(w http.ResponseWriter, status int, retry time.Duration, t model.Trouble) {
	if t.Ran == "" {
		t.Ran = "no"
	}
	h := w.Header()
	if retry > 0 {
		h.Set("Retry-After", After(retry))
	}
	h.Set(RanHeader, t.Ran)
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	b := t.JSON()
	h.Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	w.Write(b)
}

type body struct {
	r    io.Reader
	read bool
	over bool
}

func (b *body) Read(p []byte) (int, error) {
	b.read = true
	n, err := b.r.Read(p)
	var mb *http.MaxBytesError
	if errors.As(err, &mb) {
		b.over = true
	}
	return n, err
}

func (b *body) Close() error { return nil }

func (c *Carrier) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	c.Counts.Exchanges.Add(1)
	if c.Leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	status, svc := 0, ""
	fail := func(s int, retry time.Duration, t model.Trouble) {
		status = s
		if t.Ran == "unknown" {
			c.Counts.Unknown.Add(1)
		} else {
			c.Counts.NotRun.Add(1)
		}
		Error(w, s, retry, t)
	}
	defer func() { c.Observe(svc, status, time.Since(start).Seconds()) }()
	if headerSize(r.Header) > limit.HeaderMax {
		fail(431, 0, model.Trouble{Code: "header", Message: "the header is too large"})
		return
	}
	if r.Method == "CONNECT" || r.Method == "TRACE" || !plain(r) {
		fail(400, 0, model.Trouble{Code: "bad_request", Message: "neither tunnels nor paths that could be read two ways are carried"})
		return
	}
	var timeout time.Duration
	if v := r.Header.Get(DeadlineHeader); v != "" {
		ms, err := strconv.Atoi(v)
		if err != nil || ms <= 0 {
			fail(400, 0, model.Trouble{Code: "bad_request", Message: DeadlineHeader + " must be a whole number over 0"})
			return
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	// A small body is read before a target is asked for: a slow caller then holds none.
	var replay []byte
	kept := r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody
	if !kept && r.ContentLength > 0 && r.ContentLength <= limit.ReplayMax {
		replay = make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, replay); err != nil {
			fail(400, 0, model.Trouble{Code: "bad_request", Message: "the body ended early"})
			return
		}
		kept = true
	}
	id := c.nextID.Add(1)
	ans := c.owner.Ask(r.Context(), id, gate.Admit{ID: id, Host: r.Host, Path: r.URL.Path, Method: r.Method, Timeout: timeout})
	ran, last := "no", ""
	lastStatus := 0
	stream := &body{}
	for {
		if ans == nil {
			c.Counts.Gone.Add(1)
			return // the user agent left while it waited; the owner has been told
		}
		if no, ok := ans.(gate.Refuse); ok {
			retry, code, msg, st := no.Retry, no.Code, no.Message, no.Status
			if last != "" {
				code, msg = last, no.Message+"; before that: "+last
				if lastStatus != 0 {
					st = lastStatus
				}
				if retry == 0 {
					retry = limit.RetryAfterMin
				}
			}
			if len(no.Allowed) > 0 {
				w.Header().Set("Allow", strings.Join(no.Allowed, ", "))
			}
			fail(st, retry, model.Trouble{Code: code, Message: msg, Ran: ran})
			return
		}
		g := ans.(gate.Give)
		svc = g.Service
		if r.ContentLength > int64(g.Set.BodyMax) {
			c.owner.Tell(gate.Done{ID: id, Outcome: gate.Dropped, Last: true})
			fail(413, 0, model.Trouble{Code: "body", Message: "the body is over the service's limit"})
			return
		}
		if stream.r == nil {
			stream.r = http.MaxBytesReader(w, r.Body, int64(g.Set.BodyMax))
		}
		var rd io.ReadCloser = http.NoBody
		if !kept {
			rd = stream
		} else if len(replay) > 0 {
			rd = io.NopCloser(bytes.NewReader(replay))
		}
		t := c.try(w, r, g, rd)
		switch {
		case t.status != 0:
			status = t.status
			c.Counts.Served.Add(1)
			if t.cut {
				c.Counts.Cut.Add(1)
				panic(http.ErrAbortHandler)
			}
			return
		case t.outcome == gate.Dropped:
			c.Counts.Gone.Add(1)
			return
		case stream.over:
			c.owner.Tell(gate.Cancel{ID: id})
			fail(413, 0, model.Trouble{Code: "body", Message: "the body is over the service's limit", Ran: "unknown"})
			return
		}
		last = t.code
		if t.sent {
			ran = "unknown"
			lastStatus = 502
			if t.late {
				lastStatus = 504
			}
		}
		safe := r.Method == "GET" || r.Method == "HEAD" || r.Method == "OPTIONS"
		if t.late || t.sent && !safe || !kept && stream.read {
			c.owner.Tell(gate.Cancel{ID: id, Failed: true})
			st := lastStatus
			if st == 0 {
				st = 503
			}
			fail(st, limit.RetryAfterMin+time.Duration(id*2654435761>>8)%limit.RetryAfterSpan, model.Trouble{Code: last, Message: t.msg, Ran: ran})
			return
		}
		ans = c.owner.Ask(r.Context(), id, gate.Again{ID: id, Sent: t.sent})
	}
}

// tried is the end of one try: an answer that was passed on (status), or why not.
type tried struct {
	status  int
	cut     bool
	sent    bool
	late    bool
	code    string
	msg     string
	outcome gate.Outcome
}

func (c *Carrier) try(w http.ResponseWriter, r *http.Request, g gate.Give, rd io.ReadCloser) (t tried) {
	start := time.Now()
	defer func() {
		last := t.status != 0 || t.outcome == gate.Dropped
		c.owner.Tell(gate.Done{ID: g.ID, Outcome: t.outcome, Ms: float64(time.Since(start)) / 1e6, Last: last})
	}()
	ctx, cancel := context.WithTimeout(r.Context(), g.Left)
	defer cancel()
	p, err := c.pipe(ctx, &g.Target)
	if err != nil {
		switch {
		case r.Context().Err() != nil:
			return tried{outcome: gate.Dropped}
		case errors.Is(err, errForeign):
			return tried{outcome: gate.Foreign, code: "foreign", msg: "the target's address answers for another"}
		}
		return tried{outcome: gate.Closed, code: "closed", msg: "no pipe to the target", late: ctx.Err() != nil}
	}
	req := r.Clone(ctx)
	req.RequestURI = ""
	req.URL.Scheme, req.URL.Host = "http", g.Target.Addr
	req.Body = rd
	if rd == http.NoBody {
		req.ContentLength = 0
	}
	req.Close = false
	te := slices.Contains(r.Header.Values("Te"), "trailers")
	strip(req.Header)
	if te {
		req.Header.Set("Te", "trailers")
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil // or the library would name itself
	}
	if ip, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		req.Header.Set("X-Forwarded-For", strings.Join(append(slices.Clone(r.Header.Values("X-Forwarded-For")), ip), ", "))
	}
	req.Header.Set(DeadlineHeader, strconv.FormatInt(max(1, (g.Left-time.Since(start)).Milliseconds()), 10))
	before := p.out.n.Load()
	p.out.till.Store(int64(g.Till))
	resp, err := p.cc.RoundTrip(req)
	if err != nil {
		p.cc.Close()
		t = tried{sent: p.out.n.Load() != before, outcome: gate.Lost, code: "lost", msg: "the target's answer was lost"}
		switch {
		case r.Context().Err() != nil:
			t.outcome = gate.Dropped
		case ctx.Err() != nil:
			t.late, t.code, t.msg = true, "late", "no answer within the deadline"
		case !t.sent && p.out.till.Load() != 0 && c.owner.Now() > g.Till:
			t.outcome, t.code, t.msg = gate.Stale, "stale", "the choice of a target grew too old before anything was sent"
		case !t.sent:
			t.outcome, t.code, t.msg = gate.Closed, "closed", "the pipe to the target was closed"
		}
		return t
	}
	h := w.Header()
	announced := slices.Collect(maps.Keys(resp.Trailer))
	strip(resp.Header)
	maps.Copy(h, resp.Header)
	if resp.ContentLength >= 0 && h.Get("Content-Length") == "" && r.Method != "HEAD" && resp.StatusCode >= 200 && resp.StatusCode != 204 && resp.StatusCode != 304 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
	if len(announced) > 0 {
		h["Trailer"] = announced
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // or the library would guess one
	}
	w.WriteHeader(resp.StatusCode)
	t = tried{status: resp.StatusCode, outcome: gate.Served}
	if resp.StatusCode >= 500 {
		t.outcome = gate.Broken
	}
	if err := copyBody(w, resp); err != nil {
		p.cc.Close()
		t.cut = true
		t.outcome = gate.Lost
		if r.Context().Err() != nil {
			t.outcome = gate.Dropped
		}
		return t
	}
	for k, v := range resp.Trailer {
		h[k] = v
	}
	resp.Body.Close()
	if resp.Close || p.cc.Err() != nil {
		p.cc.Close()
		return t
	}
	c.pool.give <- p
	return t
}

// copyBody streams an answer: what has come goes on before more is waited for.
func copyBody(w http.ResponseWriter, resp *http.Response) error {
	rc := http.NewResponseController(w)
	b := make([]byte, 32<<10)
	got := int64(0)
	for {
		n, err := resp.Body.Read(b)
		if n > 0 {
			got += int64(n)
			if _, werr := w.Write(b[:n]); werr != nil {
				return werr
			}
			if got != resp.ContentLength {
				if werr := rc.Flush(); werr != nil {
					return werr
				}
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
