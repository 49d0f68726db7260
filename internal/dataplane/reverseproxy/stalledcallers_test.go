package reverseproxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
)

// unbufferedBytes is the length of a response that is longer than what kernels buffer.
const unbufferedBytes = 32 << 20

// newDrainingProxy starts a proxy that drains and cuts off callers that read nothing for the given time. Its target
// responds with unbufferedBytes.
func newDrainingProxy(t *testing.T, timeout time.Duration) *testProxy {
	t.Helper()
	a := newBackend(t, "a", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("P", "a")
		w.Header().Set("Content-Length", strconv.Itoa(unbufferedBytes))
		io.WriteString(w, strings.Repeat("x", unbufferedBytes))
	})
	proxy := newTestProxy(t, a.Target).withHealthCheck(config.KindRepeatable)
	proxy.timeLeft = time.Hour
	proxy.forwarder.Draining.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go proxy.forwarder.CutOffStalledCallers(ctx, timeout)
	return proxy
}

// TestDrainingCutsOffCallersThatReadNothing guards against a shutdown that waits for a caller that does not read its
// response until the grace period ends.
func TestDrainingCutsOffCallersThatReadNothing(t *testing.T) {
	proxy := newDrainingProxy(t, 300*time.Millisecond)
	caller := dialRaw(t, proxy.addr)
	caller.send("/")
	waitFor(t, "the caller is cut off", func() bool { return proxy.forwarder.Counts.StalledCallers.Load() == 1 })
	waitFor(t, "the request has ended", func() bool { return proxy.forwarder.Callers.Busy() == 0 })
	if n := proxy.forwarder.Counts.Truncated.Load(); n != 1 {
		t.Errorf("%d responses are counted as truncated, want 1", n)
	}
}

// TestStalledCallersAreKnown checks that a proxy that ends can tell callers that read nothing from those that it owes a
// response.
func TestStalledCallersAreKnown(t *testing.T) {
	proxy := newDrainingProxy(t, time.Hour)
	caller := dialRaw(t, proxy.addr)
	caller.send("/")
	waitFor(t, "the caller has stalled", func() bool { return proxy.forwarder.Callers.Stalled(300*time.Millisecond) == 1 })
	if !caller.expectResponse(strings.Repeat("x", unbufferedBytes)) {
		t.Error("the response does not close its connection")
	}
	waitFor(t, "the caller has not stalled", func() bool { return proxy.forwarder.Callers.Stalled(time.Nanosecond) == 0 })
}

// TestDrainingWaitsForCallersThatRead checks that a caller that reads gets a long response whole.
func TestDrainingWaitsForCallersThatRead(t *testing.T) {
	proxy := newDrainingProxy(t, time.Minute)
	caller := dialRaw(t, proxy.addr)
	caller.send("/")
	if !caller.expectResponse(strings.Repeat("x", unbufferedBytes)) {
		t.Error("the response does not close its connection")
	}
	if n := proxy.forwarder.Counts.StalledCallers.Load(); n != 0 {
		t.Errorf("%d callers are counted as stalled, want 0", n)
	}
}

// TestCloseEndsUnfinishedUploads guards against a shutdown that waits for a caller that does not send the body of its
// request: the caller gets a response that says that the request has not run.
func TestCloseEndsUnfinishedUploads(t *testing.T) {
	for name, deadline := range map[string]string{"no deadline": "", "long deadline": "D: 600000\r\n"} {
		t.Run(name, func(t *testing.T) {
			a := newBackend(t, "a", echo)
			proxy := newTestProxy(t, a.Target).withHealthCheck(config.KindRepeatable)
			caller := dialRaw(t, proxy.addr)
			fmt.Fprintf(caller, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n%s\r\nhalf", deadline)
			waitFor(t, "the request is being read", func() bool { return proxy.forwarder.Callers.Busy() == 1 })
			proxy.forwarder.Draining.Store(true)
			proxy.forwarder.Callers.Close()
			resp, err := http.ReadResponse(caller.reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("R") != "no" || !resp.Close {
				t.Errorf("got status %d, ran %q, closes its connection: %v; want 503, no and true", resp.StatusCode, resp.Header.Get("R"), resp.Close)
			}
			if n := proxy.forwarder.Counts.StalledCallers.Load(); n != 1 || a.runs.Load() != 0 {
				t.Errorf("%d callers are counted as stalled, %d requests ran; want 1 and 0", n, a.runs.Load())
			}
		})
	}
}
