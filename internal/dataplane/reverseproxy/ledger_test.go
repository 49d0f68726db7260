package reverseproxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"myrtlefold/internal/shared/statemachine"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// targetFault is what a stand-in target does with a request besides answering it.
type targetFault int

const (
	noFault               targetFault = iota // a whole answer
	chunkedResponse                          // the same, without a length
	interimFirst                             // an interim answer first
	surplusAtOnce                            // another answer follows in the same piece
	surplusLater                             // another answer follows whenever the scheduler gets to it
	surplusInPlace                           // the answer to an earlier request comes where this one's is due
	closesAfter                              // closes without having said so
	closesWithoutResponse                    // runs it, answers nothing and closes
	resets                                   // runs it and resets the connection
	resetsUnread                             // resets before it has read the request
	truncatedResponse                        // breaks its answer off
	truncatedHeader                          // breaks its header off
	garbage                                  // sends what is no answer
	rejects                                  // does not run it and says so
	failsWithStatus                          // runs it and answers 503 without saying whether it ran
	misdirected                              // answers 421
	largeResponse                            // an answer that streams
	largeTruncated                           // the same, broken off
	targetFaults
)

var targetFaultNames = [targetFaults]string{"answers", "chunks", "interim", "surplus at once", "surplus later", "surplus in place", "closes after",
	"closes silently", "resets", "resets unread", "half an answer", "half a header", "garbage", "turns away", "fails", "421", "large", "large and cut"}

// run is a line of the ledger: a request reached a target's code.
type run struct{ id string }

// faultyTargets are targets that misbehave by seed and tell the ledger of each run.
type faultyTargets struct {
	targets    []wire.Target
	faults     []targetFault
	runs       chan run
	goroutines sync.WaitGroup
	caused     [targetFaults]atomic.Int64
	listeners  []net.Listener
}

// payload is the body that belongs to an id.
func payload(id string, size int) string {
	return strings.Repeat(id+".", 1+size/(len(id)+1))
}

func responseTo(id string, size int) string {
	b := payload(id, size)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nA: %s\r\nP: yes\r\nContent-Length: %d\r\n\r\n%s", id, len(b), b)
}

func newFaultyTargets(t *testing.T, n int, seed uint64, kinds []targetFault) *faultyTargets {
	l := &faultyTargets{faults: kinds, runs: make(chan run, 1<<16)}
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		l.listeners = append(l.listeners, ln)
		l.targets = append(l.targets, wire.Target{Service: "s", Name: fmt.Sprint("t", i), Incarnation: 7, Addr: ln.Addr().String()})
		l.goroutines.Add(1)
		go func() {
			defer l.goroutines.Done()
			for k := uint64(0); ; k++ {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				l.goroutines.Add(1)
				go l.serve(c.(*net.TCPConn), rand.New(rand.NewPCG(seed, uint64(i)<<32|k)))
			}
		}()
	}
	return l
}

func (l *faultyTargets) close() {
	for _, ln := range l.listeners {
		ln.Close()
	}
	l.goroutines.Wait()
	close(l.runs)
}

// serve answers a connection's requests until a misbehaviour ends it.
func (l *faultyTargets) serve(c *net.TCPConn, rnd *rand.Rand) {
	defer l.goroutines.Done()
	defer c.Close()
	rd := bufio.NewReader(c)
	before := "early"
	for {
		what := l.faults[rnd.IntN(len(l.faults))]
		if rnd.IntN(2) == 0 {
			what = noFault
		}
		if what == resetsUnread {
			if _, err := rd.Peek(1); err == nil {
				l.caused[what].Add(1)
				c.SetLinger(0)
			}
			return
		}
		r, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if r.URL.Path == config.IdentityPath {
			addr := c.LocalAddr().String()
			i := slices.IndexFunc(l.targets, func(t wire.Target) bool { return t.Addr == addr })
			b := fmt.Sprintf(`{"service":"s","name":"%s","incarnation":7}`, l.targets[i].Name)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
			continue
		}
		id := strings.TrimPrefix(r.URL.Path, "/")
		if at := strings.IndexByte(id, '/'); at >= 0 {
			id = id[at+1:]
		}
		l.caused[what].Add(1)
		if what != rejects && what != misdirected {
			l.runs <- run{id}
		}
		if !l.answer(c, rnd, what, id, before) {
			return
		}
		before = id
	}
}

// answer carries a misbehaviour out and says whether the connection goes on.
func (l *faultyTargets) answer(c *net.TCPConn, rnd *rand.Rand, what targetFault, id, before string) bool {
	whole := responseTo(id, rnd.IntN(300))
	large := responseTo(id, tuning.ResponseBufferMax+1000)
	say := func(s string) bool {
		_, err := io.WriteString(c, s)
		return err == nil
	}
	switch what {
	case chunkedResponse:
		b := payload(id, 50)
		return say(fmt.Sprintf("HTTP/1.1 200 OK\r\nA: %s\r\nP: yes\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n%x\r\n%s\r\n0\r\nT: v\r\n\r\n", id, len(b), b))
	case interimFirst:
		return say("HTTP/1.1 103 X\r\nLink: x\r\n\r\n" + whole)
	case surplusAtOnce:
		return say(whole + responseTo(before, 9))
	case surplusLater:
		if !say(whole) {
			return false
		}
		l.goroutines.Add(1)
		go func() {
			defer l.goroutines.Done()
			io.WriteString(c, responseTo(before, 9))
		}()
		return true
	case surplusInPlace:
		return say(responseTo(before, 9) + whole)
	case closesAfter:
		say(whole)
		return false
	case closesWithoutResponse:
		return false
	case resets:
		c.SetLinger(0)
		return false
	case truncatedResponse:
		say(whole[:len(whole)-1-rnd.IntN(len(id))])
		return false
	case truncatedHeader:
		say(whole[:20+rnd.IntN(15)])
		return false
	case garbage:
		say("\x00\x01 nothing that is HTTP\r\n\r\n" + whole)
		return false
	case rejects:
		return say(fmt.Sprintf("HTTP/1.1 503 X\r\nA: %s\r\nN: 1\r\nContent-Length: 0\r\n\r\n", id))
	case failsWithStatus:
		return say(fmt.Sprintf("HTTP/1.1 503 X\r\nA: %s\r\nP: own\r\nContent-Length: 4\r\n\r\nfail", id))
	case misdirected:
		return say(fmt.Sprintf("HTTP/1.1 421 X\r\nA: %s\r\nContent-Length: 0\r\n\r\n", id))
	case largeResponse:
		return say(large)
	case largeTruncated:
		say(large[:len(large)-5])
		return false
	}
	return say(whole)
}

// ledgerProxy is a forwarder before such targets, whose owner gives each request up to three
// of them, each once.
type ledgerProxy struct {
	forwarder *Forwarder
	pool      *Pool
	srv       *httptest.Server
}

func newLedgerProxy(l *faultyTargets, seed uint64, asked bool) *ledgerProxy {
	f := &ledgerProxy{pool: NewPool()}
	live := map[wire.TargetID]string{}
	for _, x := range l.targets {
		live[x.ID()] = x.Addr
	}
	f.pool.SetTargets(live)
	type state struct {
		kind  config.RouteKind
		tried []int
	}
	states, turn := map[uint64]*state{}, make(chan *rand.Rand, 1)
	turn <- rand.New(rand.NewPCG(seed, 99))
	f.forwarder = New(Owner{Now: func() time.Duration { return 1 }, Notify: func(statemachine.Event) {}, Ask: func(_ context.Context, id uint64, ev statemachine.Event) statemachine.Command {
		rnd := <-turn
		defer func() { turn <- rnd }()
		if a, ok := ev.(statemachine.Admit); ok {
			states[id] = &state{kind: config.KindRepeatable}
			if strings.HasPrefix(a.Path, "/once/") {
				states[id].kind = config.KindOnce
			}
		}
		s := states[id]
		if len(s.tried) == 3 {
			return statemachine.Reject{ID: id, Status: 503, RetryAfter: time.Second, Code: "tries", Message: "no try is left"}
		}
		n := rnd.IntN(len(l.targets))
		for slices.Contains(s.tried, n) {
			n = (n + 1) % len(l.targets)
		}
		s.tried = append(s.tried, n)
		set := config.Service{BodyMax: 1 << 20}
		if asked {
			set.HealthPath = "/h"
		}
		return statemachine.Forward{ID: id, Service: "s", Target: l.targets[n], TimeLeft: time.Minute, WriteBy: time.Hour, ServiceConfig: set, Route: config.Route{Kind: s.kind}, MaxIdle: tuning.IdleConnsMax, ConnectTimeout: tuning.ConnectTimeoutMin}
	}}, f.pool)
	f.forwarder.Headers = Headers{Deadline: "D", Ran: "R", Attempt: "A", ExpectTarget: "E", NotRun: "N", Load: "L", Identity: "I", WarmupLeft: "C", Proof: "P"}
	f.srv = httptest.NewUnstartedServer(f.forwarder)
	f.srv.Listener, f.srv.Config.ConnContext = f.forwarder.WrapListener(f.srv.Listener), f.forwarder.ConnContext
	f.srv.Start()
	return f
}

// callerResults is what callers hold against the answers that they got.
type callerResults struct {
	wrong      []string        // answers that are another's, cut or altered
	rejected   map[string]bool // once requests that were told that they have not run
	served     int
	incomplete int // ended with no whole answer
}

// check holds one answer against its request.
func (c *callerResults) check(id string, once bool, resp *http.Response, ids bool) bool {
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		c.incomplete++
		return false
	}
	got := string(b)
	size, _ := strconv.Atoi(resp.Header.Get("Content-Length"))
	switch {
	case resp.StatusCode < 300:
		c.served++
		if got == "" || got != payload(id, len(got)-len(id)-1) || size > 0 && size != len(got) || ids && resp.Header.Get("A") != id || ids && resp.Header.Get("P") == "" {
			c.wrong = append(c.wrong, fmt.Sprintf("%s got %d %.60q of %s", id, resp.StatusCode, got, resp.Header.Get("A")))
		}
	case resp.Header.Get("P") != "" && (resp.StatusCode != 503 || got != "fail"):
		c.wrong = append(c.wrong, fmt.Sprintf("%s got a failure of the proxy's with a target's proof: %d %q", id, resp.StatusCode, got))
	case once && (promisesNotRun(resp.StatusCode) || resp.Header.Get("R") == "no"):
		c.rejected[id] = true
	}
	return !resp.Close
}

// call is one caller: connections that it keeps, pipelines and leaves as its luck has it.
func (f *ledgerProxy) call(name string, n int, rnd *rand.Rand, ids bool) (c callerResults) {
	c.rejected = map[string]bool{}
	var conn net.Conn
	var rd *bufio.Reader
	leave := func() {
		if conn != nil {
			conn.Close()
			conn = nil
		}
	}
	defer leave()
	head := func(id string, once, body bool) string {
		path, hd := "/"+id, ""
		if once {
			path = "/once/" + id
		}
		if ids {
			hd = "A: " + id + "\r\n"
		}
		if body {
			return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: 5\r\n\r\nhello", path, hd)
		}
		return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n%s\r\n", path, hd)
	}
	for i := 0; i < n; {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", f.srv.Listener.Addr().String()); err != nil {
				c.wrong = append(c.wrong, err.Error())
				return c
			}
			rd = bufio.NewReader(conn)
		}
		many, out := 1, ""
		if rnd.IntN(3) == 0 {
			many = 2 + rnd.IntN(4)
		}
		var sent []string
		var onces []bool
		for range many {
			id, once := fmt.Sprintf("%s-%d", name, i), rnd.IntN(2) == 0
			sent, onces, i = append(sent, id), append(onces, once), i+1
			out += head(id, once, once && many == 1)
		}
		io.WriteString(conn, out)
		stays := len(sent)
		if rnd.IntN(10) == 0 {
			stays = rnd.IntN(len(sent)) // it goes away before it has all its answers
		}
		for k := range stays {
			resp, err := http.ReadResponse(rd, nil)
			if err != nil {
				c.incomplete++
				leave()
				break
			}
			if !c.check(sent[k], onces[k], resp, ids) {
				leave()
				break
			}
		}
		if stays < len(sent) {
			leave()
		}
	}
	return c
}

// ledgerResult is what a whole run came to.
type ledgerResult struct {
	callerResults
	ranTwice, ranRejected []string
	ran                   int
}

func runLedger(t *testing.T, seed uint64, asked, ids bool, kinds []targetFault) (res ledgerResult, l *faultyTargets, f *ledgerProxy) {
	const callers, requests = 12, 120
	l = newFaultyTargets(t, 5, seed, kinds)
	f = newLedgerProxy(l, seed, asked)
	if !ids {
		f.forwarder.Headers.Attempt = ""
	}
	counted := make(chan map[string]int)
	go func() {
		runs := map[string]int{}
		for r := range l.runs {
			runs[r.id]++
		}
		counted <- runs
	}()
	ends := make(chan callerResults, callers)
	for k := range callers {
		go func() {
			ends <- f.call(fmt.Sprint("c", k), requests, rand.New(rand.NewPCG(seed, 1000+uint64(k))), asked)
		}()
	}
	refused := map[string]bool{}
	for range callers {
		c := <-ends
		res.wrong, res.served, res.incomplete = append(res.wrong, c.wrong...), res.served+c.served, res.incomplete+c.incomplete
		maps.Copy(refused, c.rejected)
	}
	f.srv.Close()
	f.pool.Close()
	l.close()
	runs := <-counted
	for _, id := range slices.Sorted(maps.Keys(runs)) {
		res.ran += runs[id]
		if runs[id] > 0 && refused[id] {
			res.ranRejected = append(res.ranRejected, id)
		}
	}
	for k := range callers {
		rnd := rand.New(rand.NewPCG(seed, 1000+uint64(k)))
		for id := range onceIDs(fmt.Sprint("c", k), requests, rnd) {
			if runs[id] > 1 {
				res.ranTwice = append(res.ranTwice, fmt.Sprintf("%s ran %d times", id, runs[id]))
			}
		}
	}
	return res, l, f
}

// onceIDs draws a caller's luck again: which of its requests may run once only.
func onceIDs(name string, n int, rnd *rand.Rand) map[string]bool {
	ids := map[string]bool{}
	for i := 0; i < n; {
		many := 1
		if rnd.IntN(3) == 0 {
			many = 2 + rnd.IntN(4)
		}
		for range many {
			if rnd.IntN(2) == 0 {
				ids[fmt.Sprintf("%s-%d", name, i)] = true
			}
			i++
		}
		if rnd.IntN(10) == 0 {
			rnd.IntN(many)
		}
	}
	return ids
}

// Many callers, some of whom pipeline and leave, before targets that misbehave in every
// way: nothing that may run once runs twice, nothing refused has run, and no caller gets
// another's answer, a cut one or an altered one.
func TestLedger(t *testing.T) {
	var all []targetFault
	for k := range targetFaults {
		all = append(all, k)
	}
	// Targets that are asked for their identity repeat no id: what comes at once or on an
	// idle connection is all that can be told from an answer there.
	framed := []targetFault{chunkedResponse, interimFirst, surplusAtOnce, closesAfter, closesWithoutResponse, resets, resetsUnread, truncatedResponse, truncatedHeader, garbage, largeResponse, largeTruncated}
	for _, c := range []struct {
		name  string
		asked bool
		kinds []targetFault
	}{{"ids", true, all}, {"identity", false, framed}} {
		var caused [targetFaults]int64
		var strange, opened, reused, ahead, deferred uint64
		for seed := range uint64(4) {
			res, l, f := runLedger(t, seed, c.asked, true, c.kinds)
			for _, s := range [][]string{res.wrong, res.ranTwice, res.ranRejected} {
				if len(s) > 0 {
					t.Errorf("%s, seed %d: %d, e.g. %s", c.name, seed, len(s), s[0])
				}
			}
			if res.served < 300 {
				t.Errorf("%s, seed %d: %d served", c.name, seed, res.served)
			}
			for k := range targetFaults {
				caused[k] += l.caused[k].Load()
			}
			n := &f.forwarder.Counts
			strange, opened, reused = strange+n.MismatchedResponses.Load(), opened+n.ConnsOpened.Load(), reused+n.ConnsReused.Load()
			ahead, deferred = ahead+n.Pipelined.Load(), deferred+n.Deferred.Load()
		}
		for _, k := range c.kinds {
			if caused[k] < 10 {
				t.Errorf("%s: %s came %d times", c.name, targetFaultNames[k], caused[k])
			}
		}
		if reused < 100 || ahead < 100 || deferred < 20 || c.asked && strange < 20 {
			t.Errorf("%s: reused %d, ahead %d, deferred %d, strange %d", c.name, reused, ahead, deferred, strange)
		}
		t.Logf("%s: caused %v, strange %d, opened %d, reused %d, ahead %d, deferred %d", c.name, caused, strange, opened, reused, ahead, deferred)
	}
}

// With the check of the id taken out, the ledger finds answers that belong to others.
func TestLedgerCanFail(t *testing.T) {
	wrong := 0
	for seed := range uint64(3) {
		res, _, _ := runLedger(t, seed, true, false, []targetFault{surplusLater, surplusInPlace})
		wrong += len(res.wrong)
	}
	if wrong == 0 {
		t.Fatal("no answer was another's")
	}
}
