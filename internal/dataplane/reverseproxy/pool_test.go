package reverseproxy

import (
	"net/http"
	"testing"
	"time"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// TestConnectionsCloseWithTheirTarget checks that no connection is kept for a target that has left the table.
func TestConnectionsCloseWithTheirTarget(t *testing.T) {
	a := newBackend(t, "a", echo)
	proxy := newTestProxy(t, a.Target)
	for range 3 {
		proxy.request(t, "GET", "/x", "")
	}
	if done := <-proxy.notified; done.(statemachine.AttemptDone).Outcome != statemachine.Served {
		t.Fatal(done)
	}
	take := func(pool *Pool) *Conn { return pool.take(a.Target.ID(), time.Hour, time.Now().Add(time.Hour)) }
	conn := take(proxy.pool)
	if conn == nil {
		t.Fatal("no connection was kept")
	}
	proxy.pool.put(a.Target.ID(), conn, 1)
	proxy.pool.SetTargets(map[wire.TargetID]string{})
	if take(proxy.pool) != nil || conn.isIdle() {
		t.Fatal("the connection is still open")
	}
	otherProxy := newTestProxy(t, a.Target)
	otherProxy.pool.SetTargets(map[wire.TargetID]string{}) // it left while the request was under way
	otherProxy.request(t, "GET", "/x", "")
	if take(otherProxy.pool) != nil {
		t.Fatal("a connection came back for a target that has left")
	}
}

// TestIdleTimeByIdempotence checks that a request that may run only once takes only a connection that was just
// used, and an idempotent one any that its target still keeps.
func TestIdleTimeByIdempotence(t *testing.T) {
	listener := listen(t)
	conns := &targetConns{}
	open := func(ago time.Duration) *Conn {
		conn := dialTarget(t, listener.Addr().String())
		conns.put(conn, tuning.IdleConnsMax)
		conn.lastUsed.Add(-int64(ago))
		return conn
	}
	deadline := time.Now().Add(time.Hour)
	old, mid := open(tuning.ConnIdle), open(2*tuning.NonIdempotentIdleMax)
	if conns.take(tuning.NonIdempotentIdleMax, deadline) != nil {
		t.Fatal("one that is too old for a request that may run only once is taken")
	}
	young := open(0)
	if conns.take(tuning.NonIdempotentIdleMax, deadline) != young || conns.take(tuning.ConnIdle, deadline) != mid || conns.take(tuning.ConnIdle, deadline) != nil {
		t.Fatal("not the last used first")
	}
	conns.closeExpired(time.Now())
	if old.isIdle() {
		t.Fatal("not closed")
	}
	conn := open(0)
	for v, want := range map[string][2]bool{"": {false, false}, "timeout=1": {false, true}, "max=3, Timeout=2": {false, false}, "timeout=x": {false, false}} {
		conn.setReuseUntil(&http.Response{Header: http.Header{"Keep-Alive": {v}}})
		now := time.Now()
		if got := [2]bool{conn.isExpired(now.Add(tuning.IdleTimeoutMargin / 2)), conn.isExpired(now.Add(tuning.IdleTimeoutMargin + time.Millisecond))}; got != want {
			t.Errorf("%q: %v", v, got)
		}
	}
	for range tuning.IdleConnsMax + 3 {
		open(0)
	}
	n := 0
	for conns.take(tuning.ConnIdle, deadline) != nil {
		n++
	}
	if n != tuning.IdleConnsMax {
		t.Fatal(n, "kept")
	}
}

// TestIdleConnectionLimit checks that as many idle connections are kept as the owner says, those that were used
// last.
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
			t.Fatalf("got %p of %p", got, opened)
		}
	}
	for _, conn := range opened[:3] {
		if conn.netConn.SetDeadline(time.Now().Add(time.Hour)) == nil {
			t.Error("one that is not kept is still open")
		}
	}
	conn := dialTarget(t, a.Addr)
	if keep(conn, 0); take() != nil {
		t.Fatal("one is kept where none may be")
	}
}
