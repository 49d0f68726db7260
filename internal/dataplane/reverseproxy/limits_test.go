package reverseproxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
)

// TestSizeLimits checks that the header and the body of each request are limited by the configuration that is in force
// at that time.
func TestSizeLimits(t *testing.T) {
	b := newBackend(t, "b", echo)
	proxy := newTestProxy(t, b.Target)
	big := strings.Repeat("x", 3000)
	expectStatus := func(limits *config.Limits, service config.Service, header, body string, want int) {
		t.Helper()
		proxy.forwarder.Limits.Store(limits)
		proxy.service = service
		if status, _, text := proxy.request(t, "PUT", "/", body, "A", header); status != want {
			t.Fatalf("limits %+v: got status %d, body %s, want status %d", limits, status, text, want)
		}
	}
	own := config.Service{BodyMax: 100 << 10, Attempts: 3}
	expectStatus(nil, own, big, big, 200)
	expectStatus(&config.Limits{HeaderBytes: 2000}, own, big, "", 431)
	expectStatus(&config.Limits{HeaderBytes: 2000}, own, "", big, 200)
	expectStatus(&config.Limits{HeaderBytes: 2 * tuning.HeaderMax}, own, strings.Repeat("x", tuning.HeaderMax+1), "", 200)
	expectStatus(nil, own, strings.Repeat("x", tuning.HeaderMax+1), "", 431)
	expectStatus(&config.Limits{BodyBytes: 2999}, own, "", big, 413)
	expectStatus(&config.Limits{BodyBytes: 3000}, own, "", big, 200)
	own.BodyMax = 2000 // the service's own limit still applies
	expectStatus(&config.Limits{BodyBytes: 3000}, own, "", big, 413)
	if n := b.runs.Load(); n != 4 {
		t.Fatal(n, "requests reached the target, want 4")
	}
	for _, tc := range []struct {
		service config.Service
		limits  *config.Limits
		want    int64
	}{
		{config.Service{BodyMax: 5, HealthPath: "/h"}, nil, tuning.CallerBodyMax},
		{config.Service{BodyMax: 5, HealthPath: "/h"}, &config.Limits{BodyBytes: 9}, 9},
		{config.Service{BodyMax: 5}, &config.Limits{BodyBytes: 9}, 5},
		{config.Service{BodyMax: 5}, &config.Limits{HeaderBytes: 9}, 5},
	} {
		proxy.forwarder.Limits.Store(tc.limits)
		if n := proxy.forwarder.maxBodyBytes(&tc.service); n != tc.want {
			t.Errorf("service %+v, limits %+v: got a body limit of %d, want %d", tc.service, tc.limits, n, tc.want)
		}
	}
}

// deadlineListener reports each read deadline that is set on its connections, as the time left until the deadline.
type deadlineListener struct {
	net.Listener
	set chan time.Duration
}

// deadlineConn is a connection of a deadlineListener.
type deadlineConn struct {
	net.Conn
	set chan time.Duration
}

func (d deadlineListener) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return deadlineConn{c, d.set}, nil
}

func (c deadlineConn) SetReadDeadline(t time.Time) error {
	if left := time.Until(t); !t.IsZero() && left > 0 {
		c.set <- left
	}
	return c.Conn.SetReadDeadline(t)
}

// TestCallerTimeouts checks that net/http's server applies the configured timeouts for headers and for idle
// connections, and that these do not change the deadline for a body, which the caller sets.
func TestCallerTimeouts(t *testing.T) {
	const minute = 60 * 1000
	for _, tc := range []struct {
		limits *config.Limits
		want   [4]time.Duration // maximum of each deadline: header, body, idle connection, next header
	}{
		{nil, [4]time.Duration{tuning.CallerHeaderTimeout, 30 * time.Minute, tuning.CallerIdleTimeout, tuning.CallerHeaderTimeout}},
		{&config.Limits{HeaderMs: 10 * minute, IdleMs: 20 * minute}, [4]time.Duration{10 * time.Minute, 30 * time.Minute, 20*time.Minute + tuning.IdleSlack, 10 * time.Minute}},
		{&config.Limits{HeaderMs: 10 * minute}, [4]time.Duration{10 * time.Minute, 30 * time.Minute, tuning.CallerIdleTimeout, 10 * time.Minute}},
		{&config.Limits{IdleMs: 20 * minute}, [4]time.Duration{tuning.CallerHeaderTimeout, 30 * time.Minute, 20*time.Minute + tuning.IdleSlack, tuning.CallerHeaderTimeout}},
	} {
		forwarder := newForwarder(t, func(_ context.Context, id uint64, _ statemachine.Event) statemachine.Command {
			return statemachine.Reject{ID: id, Status: 503, Code: "busy"}
		})
		forwarder.Limits.Store(tc.limits)
		listener := listen(t)
		set := make(chan time.Duration, 16)
		server := &http.Server{Handler: forwarder, ConnContext: forwarder.ConnContext, ReadHeaderTimeout: tuning.CallerHeaderTimeout, IdleTimeout: tuning.CallerIdleTimeout}
		go server.Serve(forwarder.WrapListener(deadlineListener{listener, set}))
		conn := dial(t, listener.Addr().String())
		reader := bufio.NewReader(conn)
		fmt.Fprintf(conn, "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n%s: 1800000\r\n\r\nx", DeadlineHeader)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		for i, want := range tc.want {
			if i == 3 {
				fmt.Fprint(conn, "GET / HTTP/1.1\r\n")
			}
			if got := <-set; got > want || got < want/2 {
				t.Errorf("limits %+v: read deadline %d is in %v, want %v to %v", tc.limits, i, got, want/2, want)
			}
		}
		conn.Close()
		server.Close()
	}
}
