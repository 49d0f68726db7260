package daemon

import (
	"encoding/json"
	"myrtlefold/internal/shared/statemachine"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"myrtlefold/internal/dataplane/reverseproxy"
	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

func prober() *Process {
	h := &Process{start: time.Now(), Headers: reverseproxy.Headers{Deadline: "D", NotRun: "N", Load: "L", Identity: "I", WarmupLeft: "C"}}
	h.Loop = &Loop{queue: make(chan item, tuning.EventQueue), host: h}
	return h
}

func (h *Process) probeOnce(p statemachine.Probe) statemachine.ProbeResult {
	h.CheckHealth(p)
	return (<-h.Loop.queue).ev.(statemachine.ProbeResult)
}

func counting(t *testing.T, hd http.HandlerFunc) (string, *atomic.Int64) {
	n := &atomic.Int64{}
	s := httptest.NewUnstartedServer(hd)
	s.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		if st == http.StateNew {
			n.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), n
}

// What an answer to a probe says of its target.
func TestProbe(t *testing.T) {
	half := 0.5
	for _, c := range []struct {
		name   string
		status int
		hd     []string
		miss   bool
		who    string
		state  wire.TargetState
		cold   time.Duration
		demand *float64
	}{
		{"well", 200, []string{"I", "x"}, false, "x", wire.TargetReady, 0, nil},
		{"well, says no name", 200, nil, false, "x", wire.TargetReady, 0, nil},
		{"cold and loaded", 200, []string{"I", "x", "C", "1500", "L", "1,1,4"}, false, "x", wire.TargetReady, 1500 * time.Millisecond, &half},
		{"nonsense", 200, []string{"C", "-3", "L", "1,,4"}, false, "x", wire.TargetReady, 0, nil},
		{"another", 200, []string{"I", "y"}, false, "y", wire.TargetReady, 0, nil},
		{"too busy", 503, []string{"N", "1"}, false, "x", "", 0, nil},
		{"too many", 429, nil, false, "x", "", 0, nil},
		{"unwell", 503, nil, true, "", "", 0, nil},
		{"no such path", 404, nil, true, "", "", 0, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr, conns := counting(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/well" || r.Header.Get("D") == "" {
					t.Error(r.URL, r.Header)
				}
				for i := 0; i+1 < len(c.hd); i += 2 {
					w.Header().Set(c.hd[i], c.hd[i+1])
				}
				w.WriteHeader(c.status)
			})
			h := prober()
			p := statemachine.Probe{ID: wire.TargetID{Service: "s", Name: "x", Incarnation: 3}, Addr: addr, Path: "/well"}
			for range 3 {
				got := h.probeOnce(p)
				if got.ID != p.ID || got.WarmupLeft != c.cold || (got.Report == nil) != c.miss {
					t.Fatalf("%+v", got)
				}
				if b := got.Report; b != nil && (b.ID() != (wire.TargetID{Service: "s", Name: c.who, Incarnation: 3}) || b.State != c.state || (b.Demand == nil) != (c.demand == nil) || b.Demand != nil && *b.Demand != *c.demand) {
					t.Fatalf("%+v", b)
				}
			}
			if conns.Load() != 1 {
				t.Fatal(conns.Load(), "pipes")
			}
		})
	}
}

// Targets without a health path are asked who they are, also on a connection that stays.
func TestProbeIdentity(t *testing.T) {
	addr, conns := counting(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != config.IdentityPath {
			t.Error(r.URL)
		}
		json.NewEncoder(w).Encode(config.TargetReport{Service: "s", Name: "z", Incarnation: 4, State: wire.TargetLeaving})
	})
	h := prober()
	for range 3 {
		got := h.probeOnce(statemachine.Probe{ID: wire.TargetID{Service: "s", Name: "x", Incarnation: 3}, Addr: addr})
		if b := got.Report; b == nil || b.ID() != (wire.TargetID{Service: "s", Name: "z", Incarnation: 4}) || b.State != wire.TargetLeaving {
			t.Fatalf("%+v", got)
		}
	}
	if conns.Load() != 1 {
		t.Fatal(conns.Load(), "pipes")
	}
}

// A kept connection that its target closed is no miss, a target that moved is asked at its
// new address, and connections of targets that are no longer probed go.
func TestProbePipes(t *testing.T) {
	addr, conns := counting(t, func(w http.ResponseWriter, _ *http.Request) {
		c, _, _ := http.NewResponseController(w).Hijack()
		c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		c.Close()
	})
	h := prober()
	p := statemachine.Probe{ID: wire.TargetID{Service: "s", Name: "x", Incarnation: 3}, Addr: addr, Path: "/w"}
	for i := range 3 {
		if got := h.probeOnce(p); got.Report == nil || conns.Load() != int64(i+1) {
			t.Fatal(got, conns.Load())
		}
	}
	gone := make(chan bool, 8)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.Config.ConnState = func(_ net.Conn, st http.ConnState) {
		if st == http.StateClosed {
			gone <- true
		}
	}
	s.Start()
	defer s.Close()
	p.Addr = s.Listener.Addr().String()
	if got := h.probeOnce(p); got.Report == nil {
		t.Fatal("not asked where it is now")
	}
	h.start = h.start.Add(-2 * tuning.ProbeConnIdle)
	p.ID.Name = "other"
	p.Addr = addr
	h.probeOnce(p)
	<-gone
	if len(h.probes) != 1 {
		t.Fatal(len(h.probes), "places")
	}
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	p.Addr = ln.Addr().String()
	ln.Close()
	if got := h.probeOnce(p); got.Report != nil {
		t.Fatal("an answer from nobody")
	}
}

// Connections to and from daemons, callers and targets break when what is sent on
// them stays unacknowledged.
func TestSocketOptions(t *testing.T) {
	ln, err := reverseproxy.Listen("127.0.0.1:0", tuning.CallerAckTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	out, err := reverseproxy.NewDialer(nil, time.Second).Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	in, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	for c, want := range map[net.Conn]time.Duration{out: tuning.AckTimeout, in: tuning.CallerAckTimeout} {
		raw, _ := c.(*net.TCPConn).SyscallConn()
		for _, o := range []struct{ level, name, want int }{
			{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(want.Milliseconds())},
			{unix.IPPROTO_TCP, unix.TCP_NODELAY, 1},
			{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
			{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(tuning.KeepAliveIdle / time.Second)},
			{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(tuning.KeepAliveInterval / time.Second)},
			{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, tuning.KeepAliveCount},
		} {
			raw.Control(func(fd uintptr) {
				if got, err := unix.GetsockoptInt(int(fd), o.level, o.name); err != nil || got != o.want {
					t.Errorf("option %d is %d, not %d: %v", o.name, got, o.want, err)
				}
			})
		}
	}
	runtime.KeepAlive(out)
}
