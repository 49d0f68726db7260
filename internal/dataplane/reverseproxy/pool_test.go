package reverseproxy

import (
	"net/http"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// TestRemovedTargetConnectionsAreClosed checks that no connection is kept for a target that was removed from the table.
func TestRemovedTargetConnectionsAreClosed(t *testing.T) {
	a := newBackend(t, "a", echo)
	proxy := newTestProxy(t, a.Target)
	for range 3 {
		proxy.request(t, "GET", "/x", "")
	}
	if done := <-proxy.notified; done.(statemachine.AttemptDone).Outcome != statemachine.Served {
		t.Fatalf("got notification %+v, want outcome Served", done)
	}
	take := func(pool *Pool) *Conn { return pool.take(a.Target.ID(), time.Hour, time.Now().Add(time.Hour)) }
	conn := take(proxy.pool)
	if conn == nil {
		t.Fatal("no connection was kept after three requests")
	}
	proxy.pool.put(a.Target.ID(), conn, 1)
	proxy.pool.SetTargets(map[wire.TargetID]string{})
	if take(proxy.pool) != nil || conn.isIdle() {
		t.Fatal("the connection to the removed target is still in the pool or open")
	}
	otherProxy := newTestProxy(t, a.Target)
	otherProxy.pool.SetTargets(map[wire.TargetID]string{}) // as if the target was removed during the request
	otherProxy.request(t, "GET", "/x", "")
	if take(otherProxy.pool) != nil {
		t.Fatal("a connection to a removed target was put back into the pool")
	}
}

// TestMaxIdleTimeByIdempotence checks that a request that is not idempotent gets only a recently used connection, and
// an idempotent request any connection that has not expired.
func TestMaxIdleTimeByIdempotence(t *testing.T) {
	listener := listen(t)
	conns := &targetConns{}
	open := func(idle time.Duration) *Conn {
		conn := dialTarget(t, listener.Addr().String())
		conns.put(conn, tuning.IdleConnsMax)
		conn.lastUsed.Add(-int64(idle))
		return conn
	}
	deadline := time.Now().Add(time.Hour)
	expired, idle := open(tuning.ConnIdleTimeout), open(2*tuning.NonIdempotentIdleMax)
	if conns.take(tuning.NonIdempotentIdleMax, deadline) != nil {
		t.Fatal("a request that is not idempotent got a connection that was idle for too long")
	}
	recent := open(0)
	if conns.take(tuning.NonIdempotentIdleMax, deadline) != recent || conns.take(tuning.ConnIdleTimeout, deadline) != idle || conns.take(tuning.ConnIdleTimeout, deadline) != nil {
		t.Fatal("want the recent connection, then the idle one, and no expired one")
	}
	conns.closeExpired(time.Now())
	if expired.isIdle() {
		t.Fatal("the expired connection was not closed")
	}
	conn := open(0)
	for v, want := range map[string][2]bool{"": {false, false}, "timeout=1": {false, true}, "max=3, Timeout=2": {false, false}, "timeout=x": {false, false}} {
		conn.setReuseUntil(&http.Response{Header: http.Header{"Keep-Alive": {v}}})
		now := time.Now()
		if got := [2]bool{conn.isExpired(now.Add(tuning.IdleTimeoutMargin / 2)), conn.isExpired(now.Add(tuning.IdleTimeoutMargin + time.Millisecond))}; got != want {
			t.Errorf("Keep-Alive %q: expired before and after the margin: %v, want %v", v, got, want)
		}
	}
	for range tuning.IdleConnsMax + 3 {
		open(0)
	}
	n := 0
	for conns.take(tuning.ConnIdleTimeout, deadline) != nil {
		n++
	}
	if n != tuning.IdleConnsMax {
		t.Fatalf("%d connections are kept, want %d", n, tuning.IdleConnsMax)
	}
}

// TestIdleConnectionLimit checks that at most as many idle connections are kept as the state machine allows, and that
// these are the most recently used ones.
func TestIdleConnectionLimit(t *testing.T) {
	a := newRawBackend(t, "a", respond(200, "ok"))
	proxy := newTestProxy(t, a.Target)
	keep := func(conn *Conn, maxIdle int) {
		target := statemachine.Forward{Target: a.Target, MaxIdle: maxIdle}
		(&attempt{request: &request{forwarder: proxy.forwarder}, target: target, conn: conn}).keepConn()
	}
	var opened []*Conn
	for range 5 {
		conn := dialTarget(t, a.Addr)
		opened = append(opened, conn)
		keep(conn, 2)
	}
	take := func() *Conn { return proxy.pool.take(a.Target.ID(), time.Hour, time.Now().Add(time.Hour)) }
	for _, want := range []*Conn{opened[4], opened[3], nil} {
		if got := take(); got != want {
			t.Fatalf("took connection %p, want %p, opened %p", got, want, opened)
		}
	}
	for _, conn := range opened[:3] {
		if conn.netConn.SetDeadline(time.Now().Add(time.Hour)) == nil {
			t.Error("a connection that is not kept is still open")
		}
	}
	conn := dialTarget(t, a.Addr)
	if keep(conn, 0); take() != nil {
		t.Fatal("a connection is kept although the limit is 0")
	}
}
