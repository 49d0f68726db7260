package reverseproxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"myrtlefold/internal/shared/statemachine"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
)

// Callers' sizes are bounded by the configuration, as it stands at each request.
func TestSizes(t *testing.T) {
	b := newBackend(t, "b", echo)
	f := newTestProxy(t, b.Target)
	big := strings.Repeat("x", 3000)
	ask := func(l *config.Limits, set config.Service, header, body string, want int) {
		t.Helper()
		f.forwarder.Limits.Store(l)
		f.service = set
		if status, _, text := f.do(t, "PUT", "/", body, "A", header); status != want {
			t.Fatalf("%+v: %d %s, not %d", l, status, text, want)
		}
	}
	own := config.Service{BodyMax: 100 << 10, Attempts: 3}
	ask(nil, own, big, big, 200)
	ask(&config.Limits{HeaderBytes: 2000}, own, big, "", 431)
	ask(&config.Limits{HeaderBytes: 2000}, own, "", big, 200)
	ask(&config.Limits{HeaderBytes: 2 * tuning.HeaderMax}, own, strings.Repeat("x", tuning.HeaderMax+1), "", 200)
	ask(nil, own, strings.Repeat("x", tuning.HeaderMax+1), "", 431)
	ask(&config.Limits{BodyBytes: 2999}, own, "", big, 413)
	ask(&config.Limits{BodyBytes: 3000}, own, "", big, 200)
	own.BodyMax = 2000 // the service's own bound stays
	ask(&config.Limits{BodyBytes: 3000}, own, "", big, 413)
	if n := b.runs.Load(); n != 4 {
		t.Fatal(n, "ran")
	}
	for _, c := range []struct {
		s    config.Service
		l    *config.Limits
		want int64
	}{
		{config.Service{BodyMax: 5, HealthPath: "/h"}, nil, tuning.CallerBody},
		{config.Service{BodyMax: 5, HealthPath: "/h"}, &config.Limits{BodyBytes: 9}, 9},
		{config.Service{BodyMax: 5}, &config.Limits{BodyBytes: 9}, 5},
		{config.Service{BodyMax: 5}, &config.Limits{HeaderBytes: 9}, 5},
	} {
		f.forwarder.Limits.Store(c.l)
		if n := f.forwarder.maxBodyBytes(&c.s); n != c.want {
			t.Errorf("%+v %+v: %d", c.s, c.l, n)
		}
	}
}

// deadlines tells each deadline that is set on its connections, as time from then.
type deadlineListener struct {
	net.Listener
	set chan time.Duration
}

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

// The library's server waits for headers and for the next request as long as the
// configuration says, and a caller's own time for its body stays what it is.
func TestWaits(t *testing.T) {
	const min = 60 * 1000
	for _, c := range []struct {
		l    *config.Limits
		want [4]time.Duration // each deadline's upper end: header, body, unused, next header
	}{
		{nil, [4]time.Duration{tuning.CallerHeader, 30 * time.Minute, tuning.CallerIdle, tuning.CallerHeader}},
		{&config.Limits{HeaderMs: 10 * min, IdleMs: 20 * min}, [4]time.Duration{10 * time.Minute, 30 * time.Minute, 20*time.Minute + tuning.IdleSlack, 10 * time.Minute}},
		{&config.Limits{HeaderMs: 10 * min}, [4]time.Duration{10 * time.Minute, 30 * time.Minute, tuning.CallerIdle, 10 * time.Minute}},
		{&config.Limits{IdleMs: 20 * min}, [4]time.Duration{tuning.CallerHeader, 30 * time.Minute, 20*time.Minute + tuning.IdleSlack, tuning.CallerHeader}},
	} {
		car := New(Owner{Now: func() time.Duration { return 1 }, Notify: func(statemachine.Event) {}, Ask: func(_ context.Context, id uint64, _ statemachine.Event) statemachine.Command {
			return statemachine.Reject{ID: id, Status: 503, Code: "busy"}
		}}, NewPool())
		car.Limits.Store(c.l)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		set := make(chan time.Duration, 16)
		srv := &http.Server{Handler: car, ConnContext: car.ConnContext, ReadHeaderTimeout: tuning.CallerHeader, IdleTimeout: tuning.CallerIdle}
		go srv.Serve(car.WrapListener(deadlineListener{ln, set}))
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		rd := bufio.NewReader(conn)
		fmt.Fprintf(conn, "PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n%s: 1800000\r\n\r\nx", DeadlineHeader)
		resp, err := http.ReadResponse(rd, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		for i, want := range c.want {
			if i == 3 {
				fmt.Fprint(conn, "GET / HTTP/1.1\r\n")
			}
			if got := <-set; got > want || got < want/2 {
				t.Errorf("%+v: deadline %d is in %v, not %v", c.l, i, got, want)
			}
		}
		conn.Close()
		srv.Close()
	}
}
