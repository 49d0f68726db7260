package reverseproxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// faultProxy is a forwarder to faultyTargets. Its state machine forwards each request to up to three different targets.
type faultProxy struct {
	forwarder *Forwarder
	pool      *Pool
	server    *httptest.Server
}

// newFaultProxy starts a faultProxy.
func newFaultProxy(faulty *faultyTargets, seed uint64, healthCheck bool) *faultProxy {
	f := &faultProxy{pool: NewPool()}
	f.pool.SetTargets(addressesOf(faulty.targets...))
	type requestState struct {
		kind  config.RouteKind
		tried []int
	}
	states, random := map[uint64]*requestState{}, make(chan *rand.Rand, 1) // random also serves as the lock of states
	random <- rand.New(rand.NewPCG(seed, 99))
	stateMachine := StateMachine{Now: func() time.Duration { return 1 }, Notify: func(statemachine.Event) {}}
	stateMachine.Ask = func(_ context.Context, id uint64, event statemachine.Event) statemachine.Command {
		rnd := <-random
		defer func() { random <- rnd }()
		if admit, ok := event.(statemachine.Admit); ok {
			states[id] = &requestState{kind: config.KindRepeatable}
			if strings.HasPrefix(admit.Path, "/once/") {
				states[id].kind = config.KindOnce
			}
		}
		request := states[id]
		if len(request.tried) == 3 {
			return statemachine.Reject{ID: id, Status: 503, RetryAfter: time.Second, Code: "attempts", Message: "no attempt is left"}
		}
		n := rnd.IntN(len(faulty.targets))
		for slices.Contains(request.tried, n) {
			n = (n + 1) % len(faulty.targets)
		}
		request.tried = append(request.tried, n)
		service := config.Service{BodyMax: 1 << 20}
		if healthCheck {
			service.HealthPath = "/h"
		}
		return statemachine.Forward{
			ID:             id,
			Service:        "s",
			ServiceConfig:  service,
			Route:          config.Route{Kind: request.kind},
			Target:         faulty.targets[n],
			TimeLeft:       time.Minute,
			WriteBy:        time.Hour,
			ConnectTimeout: tuning.ConnectTimeoutMin,
			MaxIdle:        tuning.IdleConnsMax,
		}
	}
	f.forwarder = New(stateMachine, f.pool)
	f.forwarder.Headers = testHeaders()
	f.server = httptest.NewUnstartedServer(f.forwarder)
	f.server.Listener, f.server.Config.ConnContext = f.forwarder.WrapListener(f.server.Listener), f.forwarder.ConnContext
	f.server.Start()
	return f
}

// callerResults collects what callers found in their responses.
type callerResults struct {
	wrong      []string        // descriptions of responses that belong to another request, are truncated or altered
	rejected   map[string]bool // ids of requests that may run only once and whose response says that they did not run
	served     int             // number of successful responses
	incomplete int             // number of requests that ended without a complete response
}

// check compares a response with its request and reports whether the connection stays open. ids tells whether callers
// send ids.
func (c *callerResults) check(id string, once bool, resp *http.Response, ids bool) bool {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.incomplete++
		return false
	}
	got := string(body)
	size, _ := strconv.Atoi(resp.Header.Get("Content-Length"))
	switch {
	case resp.StatusCode < 300:
		c.served++
		if got == "" || got != payloadOf(id, len(got)-len(id)-1) || size > 0 && size != len(got) || ids && resp.Header.Get("A") != id || ids && resp.Header.Get("P") == "" {
			c.wrong = append(c.wrong, fmt.Sprintf("request %s got status %d, body %.60q, id %s", id, resp.StatusCode, got, resp.Header.Get("A")))
		}
	case resp.Header.Get("P") != "" && (resp.StatusCode != 503 || got != "fail"):
		c.wrong = append(c.wrong, fmt.Sprintf("request %s got an error with a target's proof that no target sent: status %d, body %q", id, resp.StatusCode, got))
	case once && (impliesNotRun(resp.StatusCode) || resp.Header.Get("R") == "no"):
		c.rejected[id] = true
	}
	return !resp.Close
}

// runCaller runs one caller, which sends n requests. It reuses its connections, and pipelines and disconnects at
// random.
func (f *faultProxy) runCaller(name string, n int, rnd *rand.Rand, ids bool) (c callerResults) {
	c.rejected = map[string]bool{}
	var conn net.Conn
	var reader *bufio.Reader
	disconnect := func() {
		if conn != nil {
			conn.Close()
			conn = nil
		}
	}
	defer disconnect()
	formatRequest := func(id string, once, body bool) string {
		path, header := "/"+id, ""
		if once {
			path = "/once/" + id
		}
		if ids {
			header = "A: " + id + "\r\n"
		}
		if body {
			return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: 5\r\n\r\nhello", path, header)
		}
		return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n%s\r\n", path, header)
	}
	for i := 0; i < n; {
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", f.server.Listener.Addr().String()); err != nil {
				c.wrong = append(c.wrong, err.Error())
				return c
			}
			reader = bufio.NewReader(conn)
		}
		count, pipeline := 1, ""
		if rnd.IntN(3) == 0 {
			count = 2 + rnd.IntN(4)
		}
		var sent []string
		var onceFlags []bool
		for range count {
			id, once := fmt.Sprintf("%s-%d", name, i), rnd.IntN(2) == 0
			sent, onceFlags, i = append(sent, id), append(onceFlags, once), i+1
			pipeline += formatRequest(id, once, once && count == 1)
		}
		io.WriteString(conn, pipeline)
		expected := len(sent)
		if rnd.IntN(10) == 0 {
			expected = rnd.IntN(len(sent)) // disconnect before all responses have been read
		}
		for k := range expected {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				c.incomplete++
				disconnect()
				break
			}
			if !c.check(sent[k], onceFlags[k], resp, ids) {
				disconnect()
				break
			}
		}
		if expected < len(sent) {
			disconnect()
		}
	}
	return c
}

// faultResult is the result of a run of all callers.
type faultResult struct {
	callerResults
	ranTwice    []string // descriptions of requests that may run only once and ran more often
	ranRejected []string // ids of requests that ran although their response says that they did not
	ran         int      // number of runs of all requests
}

// runFaults runs all callers against targets with faults. Callers send ids if healthCheck is set. The proxy checks them
// if ids is set.
func runFaults(t *testing.T, seed uint64, healthCheck, ids bool, faults []targetFault) (res faultResult, faulty *faultyTargets, proxy *faultProxy) {
	const callers, requests = 12, 120
	faulty = newFaultyTargets(t, 5, seed, faults)
	proxy = newFaultProxy(faulty, seed, healthCheck)
	if !ids {
		proxy.forwarder.Headers.Attempt = ""
	}
	counted := make(chan map[string]int)
	go func() {
		runs := map[string]int{}
		for r := range faulty.runs {
			runs[r.id]++
		}
		counted <- runs
	}()
	results := make(chan callerResults, callers)
	for k := range callers {
		go func() {
			results <- proxy.runCaller(fmt.Sprint("c", k), requests, rand.New(rand.NewPCG(seed, 1000+uint64(k))), healthCheck)
		}()
	}
	rejected := map[string]bool{}
	for range callers {
		c := <-results
		res.wrong, res.served, res.incomplete = append(res.wrong, c.wrong...), res.served+c.served, res.incomplete+c.incomplete
		maps.Copy(rejected, c.rejected)
	}
	proxy.server.Close()
	proxy.pool.Close()
	faulty.close()
	runs := <-counted
	for _, id := range slices.Sorted(maps.Keys(runs)) {
		res.ran += runs[id]
		if runs[id] > 0 && rejected[id] {
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
	return res, faulty, proxy
}

// onceIDs returns which requests of a caller may run only once. rnd must have the same seed as in runCaller, since
// onceIDs draws the same random numbers.
func onceIDs(name string, n int, rnd *rand.Rand) map[string]bool {
	ids := map[string]bool{}
	for i := 0; i < n; {
		count := 1
		if rnd.IntN(3) == 0 {
			count = 2 + rnd.IntN(4)
		}
		for range count {
			if rnd.IntN(2) == 0 {
				ids[fmt.Sprintf("%s-%d", name, i)] = true
			}
			i++
		}
		if rnd.IntN(10) == 0 {
			rnd.IntN(count)
		}
	}
	return ids
}

// TestFaultyTargets runs many callers, which pipeline and disconnect at random, against targets that inject all faults.
// It checks that no request that may run only once runs twice, that no rejected request has run, and that no caller
// gets a response that belongs to another request, is truncated or altered.
func TestFaultyTargets(t *testing.T) {
	var all []targetFault
	for fault := range targetFaults {
		all = append(all, fault)
	}
	// Without a health check no ids are sent and checked. A surplus response is then detected only if it arrives
	// together with the response before it or while the connection is idle, so the other surplus responses are omitted.
	faultsWithoutIDs := []targetFault{chunkedResponse, interimFirst, surplusAtOnce, closesAfter, closesWithoutResponse, resets, resetsUnread, truncatedResponse, truncatedHeader, garbage, largeResponse, largeTruncated}
	for _, tc := range []struct {
		name        string
		healthCheck bool
		faults      []targetFault
	}{{"ids", true, all}, {"identity", false, faultsWithoutIDs}} {
		var injected [targetFaults]int64
		var mismatched, opened, reused, pipelined, deferred uint64
		for seed := range uint64(4) {
			res, faulty, proxy := runFaults(t, seed, tc.healthCheck, true, tc.faults)
			for _, violations := range [][]string{res.wrong, res.ranTwice, res.ranRejected} {
				if len(violations) > 0 {
					t.Errorf("%s, seed %d: %d violations, e.g. %s", tc.name, seed, len(violations), violations[0])
				}
			}
			if res.served < 300 {
				t.Errorf("%s, seed %d: only %d requests served, want 300 or more", tc.name, seed, res.served)
			}
			for fault := range targetFaults {
				injected[fault] += faulty.injected[fault].Load()
			}
			counts := &proxy.forwarder.Counts
			mismatched, opened, reused = mismatched+counts.MismatchedResponses.Load(), opened+counts.ConnsOpened.Load(), reused+counts.ConnsReused.Load()
			pipelined, deferred = pipelined+counts.Pipelined.Load(), deferred+counts.Deferred.Load()
		}
		for _, fault := range tc.faults {
			if injected[fault] < 10 {
				t.Errorf("%s: fault %q was injected only %d times, want 10 or more", tc.name, targetFaultNames[fault], injected[fault])
			}
		}
		if reused < 100 || pipelined < 100 || deferred < 20 || tc.healthCheck && mismatched < 20 {
			t.Errorf("%s: too few cases exercised: reused %d, pipelined %d, deferred %d, mismatched %d, want 100, 100, 20 and, with a health check, 20", tc.name, reused, pipelined, deferred, mismatched)
		}
		t.Logf("%s: injected %v, mismatched %d, opened %d, reused %d, pipelined %d, deferred %d", tc.name, injected, mismatched, opened, reused, pipelined, deferred)
	}
}

// TestFaultyTargetsFindsMissingIDCheck checks that TestFaultyTargets would detect a missing check of response ids:
// without it, callers get responses that belong to other requests.
func TestFaultyTargetsFindsMissingIDCheck(t *testing.T) {
	wrong := 0
	for seed := range uint64(3) {
		res, _, _ := runFaults(t, seed, true, false, []targetFault{surplusLater, surplusInPlace})
		wrong += len(res.wrong)
	}
	if wrong == 0 {
		t.Fatal("no caller got a response that belongs to another request, want some without the check of ids")
	}
}
