// This file implements the pool of idle connections to targets. Each target has a fixed number of slots, which are
// filled and emptied by atomic operations, so that requests never wait for a lock.

package reverseproxy

import (
	"sync"
	"sync/atomic"
	"time"

	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// processStart is the reference time of Conn.lastUsed.
var processStart = time.Now()

// Pool holds the idle connections to the targets in the routing table. SetTargets and SetUnreachable must be called
// from a single goroutine, that of the state machine. Requests take and put connections from their own goroutines.
type Pool struct {
	targets atomic.Pointer[map[wire.TargetID]*targetConns]
	stop    chan struct{} // closed by Close
	sweeper sync.WaitGroup
}

// NewPool returns a pool without targets. Until Close, the pool closes expired connections on its own goroutine.
func NewPool() *Pool {
	p := &Pool{stop: make(chan struct{})}
	p.targets.Store(&map[wire.TargetID]*targetConns{})
	p.sweeper.Go(p.sweep)
	return p
}

// sweep periodically closes expired connections until the pool is closed.
func (p *Pool) sweep() {
	ticker := time.NewTicker(tuning.ConnIdleTimeout / 4)
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

// SetTargets sets the targets, which are the keys of addresses, and closes the idle connections to all others.
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

// SetUnreachable sets which targets are unreachable.
func (p *Pool) SetUnreachable(ids map[wire.TargetID]bool) {
	for id, conns := range *p.targets.Load() {
		conns.unreachable.Store(ids[id])
	}
}

// isUnreachable reports whether a target is in the pool and unreachable.
func (p *Pool) isUnreachable(id wire.TargetID) bool {
	conns := (*p.targets.Load())[id]
	return conns != nil && conns.unreachable.Load()
}

// Close closes all idle connections and waits for the pool's goroutine to end. Connections that are put back later are
// closed at once. Close must be called only once.
func (p *Pool) Close() {
	close(p.stop)
	p.sweeper.Wait()
	p.SetTargets(nil)
}

// take removes and returns the most recently used connection to a target, with its deadline set, or nil if there is no
// connection that has been idle for less than maxIdleTime.
func (p *Pool) take(id wire.TargetID, maxIdleTime time.Duration, deadline time.Time) *Conn {
	if conns := (*p.targets.Load())[id]; conns != nil {
		return conns.take(maxIdleTime, deadline)
	}
	return nil
}

// put adds an idle connection to a target. At most limit idle connections to the target are kept.
func (p *Pool) put(id wire.TargetID, conn *Conn, limit int) {
	if conns := (*p.targets.Load())[id]; conns != nil {
		conns.put(conn, limit)
	} else {
		conn.Close()
	}
}

// targetConns holds a target's idle connections.
type targetConns struct {
	slots       [tuning.IdleConnsMax]atomic.Pointer[Conn]
	removed     atomic.Bool // the target is no longer in the routing table; connections that are put back are closed
	unreachable atomic.Bool // the target is unreachable
}

// put adds a connection and closes the least recently used ones, so that at most limit are kept. The most recently used
// ones are the most useful: an older one can serve only idempotent requests.
func (t *targetConns) put(conn *Conn, limit int) {
	conn.lastUsed.Store(int64(time.Since(processStart)))
	if limit <= 0 {
		conn.Close()
		return
	}
	for n := t.count(); n >= limit; n-- {
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

// count returns the number of idle connections.
func (t *targetConns) count() (n int) {
	for i := range t.slots {
		if t.slots[i].Load() != nil {
			n++
		}
	}
	return n
}

// closeOldest closes the least recently used connection, if there is one.
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

// take removes and returns the most recently used connection, with its deadline set, or nil if there is no connection
// that has been idle for less than maxIdleTime.
func (t *targetConns) take(maxIdleTime time.Duration, deadline time.Time) *Conn {
	for {
		newest, slot := t.newest()
		if newest == nil {
			return nil
		}
		now := time.Now()
		if newest.idleFor(now) >= maxIdleTime {
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

// newest returns the most recently used connection and the index of its slot, nil if there is none.
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

// closeExpired closes the connections that have expired.
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

// idleFor returns how long a connection has been idle.
func (c *Conn) idleFor(now time.Time) time.Duration {
	return now.Sub(processStart) - time.Duration(c.lastUsed.Load())
}

// isExpired reports whether a connection has been idle for too long or for longer than the target announced to keep it
// open. The connection must be in no slot, so that only the calling goroutine uses it.
func (c *Conn) isExpired(now time.Time) bool {
	return c.idleFor(now) >= tuning.ConnIdleTimeout || !c.reuseUntil.IsZero() && now.After(c.reuseUntil)
}
