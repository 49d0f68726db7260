// This file has the idle connections to targets. A target's are in a fixed number of slots, which are taken and
// filled by single atomic steps, so that requests wait for no lock.

package reverseproxy

import (
	"sync"
	"sync/atomic"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// processStart is what connections count their age from.
var processStart = time.Now()

// Pool has the idle connections to the table's targets. SetTargets and SetUnreachable are called by one goroutine,
// the owner's; requests take and put connections on theirs.
type Pool struct {
	targets atomic.Pointer[map[wire.TargetID]*targetConns]
	stop    chan struct{}
	sweeper sync.WaitGroup
}

// NewPool returns a pool without targets. It closes expired connections on a goroutine of its own until Close.
func NewPool() *Pool {
	p := &Pool{stop: make(chan struct{})}
	p.targets.Store(&map[wire.TargetID]*targetConns{})
	p.sweeper.Go(p.sweep)
	return p
}

// sweep closes expired connections now and then, until the pool is closed.
func (p *Pool) sweep() {
	ticker := time.NewTicker(tuning.ConnIdle / 4)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			for _, conns := range *p.targets.Load() {
				conns.closeExpired(now)
			}
		case <-p.stop:
			return
		}
	}
}

// SetTargets sets the targets, which are the keys, and closes the idle connections to all others.
func (p *Pool) SetTargets(addresses map[wire.TargetID]string) {
	before := *p.targets.Load()
	targets := make(map[wire.TargetID]*targetConns, len(addresses))
	for id := range addresses {
		if targets[id] = before[id]; targets[id] == nil {
			targets[id] = &targetConns{}
		}
	}
	p.targets.Store(&targets)
	for id, conns := range before {
		if targets[id] == nil {
			conns.removed.Store(true)
			conns.close()
		}
	}
}

// SetUnreachable sets which targets nothing reaches.
func (p *Pool) SetUnreachable(ids map[wire.TargetID]bool) {
	for id, conns := range *p.targets.Load() {
		conns.unreachable.Store(ids[id])
	}
}

// isUnreachable reports whether nothing reaches a target.
func (p *Pool) isUnreachable(id wire.TargetID) bool {
	conns := (*p.targets.Load())[id]
	return conns != nil && conns.unreachable.Load()
}

// Close closes all idle connections, and has those closed that come back later. It is called once, and waits for
// the pool's goroutine.
func (p *Pool) Close() {
	close(p.stop)
	p.sweeper.Wait()
	p.SetTargets(nil)
}

// take returns the connection to a target that was used last, with that deadline, if it has been unused for less
// than maxIdle; else nil.
func (p *Pool) take(id wire.TargetID, maxIdle time.Duration, deadline time.Time) *Conn {
	if conns := (*p.targets.Load())[id]; conns != nil {
		return conns.take(maxIdle, deadline)
	}
	return nil
}

// put keeps a connection to a target, and at most limit in all.
func (p *Pool) put(id wire.TargetID, conn *Conn, limit int) {
	if conns := (*p.targets.Load())[id]; conns != nil {
		conns.put(conn, limit)
	} else {
		conn.Close()
	}
}

// targetConns are a target's idle connections.
type targetConns struct {
	slots       [tuning.IdleConnsMax]atomic.Pointer[Conn]
	removed     atomic.Bool // the target has left the table: what comes back is closed
	unreachable atomic.Bool // nothing reaches the target
}

// put keeps a connection, and closes those unused for longest so that at most limit are left: one that was used
// just now serves every request, an old one only those that may be repeated.
func (t *targetConns) put(conn *Conn, limit int) {
	conn.lastUsed.Store(int64(time.Since(processStart)))
	if limit <= 0 {
		conn.Close()
		return
	}
	for kept := t.count(); kept >= limit; kept-- {
		t.closeOldest()
	}
	for i := range t.slots {
		if t.slots[i].CompareAndSwap(nil, conn) {
			if t.removed.Load() {
				t.close()
			}
			return
		}
	}
	conn.Close()
}

// count returns how many connections there are.
func (t *targetConns) count() (n int) {
	for i := range t.slots {
		if t.slots[i].Load() != nil {
			n++
		}
	}
	return n
}

// closeOldest closes the connection that has been unused for longest, if there is one.
func (t *targetConns) closeOldest() {
	var oldest *Conn
	slot := 0
	for i := range t.slots {
		if conn := t.slots[i].Load(); conn != nil && (oldest == nil || conn.lastUsed.Load() < oldest.lastUsed.Load()) {
			oldest, slot = conn, i
		}
	}
	if oldest != nil && t.slots[slot].CompareAndSwap(oldest, nil) {
		oldest.Close()
	}
}

// take returns the connection that was used last, with that deadline, if it has been unused for less than maxIdle;
// else nil.
func (t *targetConns) take(maxIdle time.Duration, deadline time.Time) *Conn {
	for {
		newest, slot := t.newest()
		if newest == nil {
			return nil
		}
		now := time.Now()
		if newest.idleFor(now) >= maxIdle {
			return nil
		}
		if !t.slots[slot].CompareAndSwap(newest, nil) {
			continue
		}
		newest.netConn.SetDeadline(deadline)
		if newest.isExpired(now) || !newest.isIdle() {
			newest.Close()
			continue
		}
		return newest
	}
}

// newest returns the connection that was used last and its slot, nil if there is none.
func (t *targetConns) newest() (newest *Conn, slot int) {
	for i := range t.slots {
		if conn := t.slots[i].Load(); conn != nil && (newest == nil || conn.lastUsed.Load() > newest.lastUsed.Load()) {
			newest, slot = conn, i
		}
	}
	return newest, slot
}

// close closes all connections.
func (t *targetConns) close() {
	for i := range t.slots {
		if conn := t.slots[i].Swap(nil); conn != nil {
			conn.Close()
		}
	}
}

// closeExpired closes the connections that are too old to be used.
func (t *targetConns) closeExpired(now time.Time) {
	for i := range t.slots {
		conn := t.slots[i].Swap(nil)
		if conn != nil && (conn.isExpired(now) || !t.slots[i].CompareAndSwap(nil, conn)) {
			conn.Close()
		}
	}
	if t.removed.Load() {
		t.close()
	}
}

// idleFor returns for how long a connection has been unused.
func (c *Conn) idleFor(now time.Time) time.Duration {
	return now.Sub(processStart) - time.Duration(c.lastUsed.Load())
}

// isExpired reports whether a connection is too old to be used. The caller must own it: the connection must be in
// no slot.
func (c *Conn) isExpired(now time.Time) bool {
	return c.idleFor(now) >= tuning.ConnIdle || !c.reuseUntil.IsZero() && now.After(c.reuseUntil)
}
