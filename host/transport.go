// This file is the connections between daemons.

package host

import (
	"cmp"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/core"
	"myrtlefold/forward"
	"myrtlefold/limit"
	"myrtlefold/wire"
)

// Listen takes messages from other daemons.
func (h *Host) Listen() error {
	ln, err := forward.Listen(cmp.Or(h.Set.Bind, h.Set.Addr), limit.Unacked)
	if err != nil {
		return errors.Wrap(err, "listen for daemons")
	}
	go func() {
		for {
			c, err := ln.Accept()
			if passes(err) {
				time.Sleep(limit.Redial)
				continue
			}
			if err != nil {
				h.Fatal(err, "accept from daemons")
			}
			go func() {
				defer c.Close()
				r, from := wire.NewReader(c), ""
				for {
					b, err := r.Next()
					if err != nil {
						return
					}
					m, err := wire.Decode(b)
					if err != nil {
						h.Log.WithError(err).WithField("from", c.RemoteAddr().String()).Warn("message not understood")
						return
					}
					if m.From == "" {
						m.From = from // who speaks is said once
					}
					from = m.From
					h.Traffic.add(false, m.Kind, r.Size)
					h.Loop.Tell(core.Recv{M: m})
				}
			}()
		}
	}()
	return nil
}

// queued is a message on its way and since when.
type queued struct {
	m     *wire.Msg
	table *wire.PackedTable // the message's, if it is packed for all who get it
	at    time.Duration
}

// packedTables are the tables last sent. An owner never changes a table that it has handed out, so
// the pointer tells which it is.
type packedTables struct {
	tables [limit.PackedTables]*wire.Table
	packed [limit.PackedTables]*wire.PackedTable
	next   int // which is replaced next
}

// of is a table in its packed form, nil if it can't be packed: then who sends it says why.
func (p *packedTables) of(t *wire.Table) *wire.PackedTable {
	if t == nil {
		return nil
	}
	for i := range p.tables {
		if p.tables[i] == t {
			return p.packed[i]
		}
	}
	b, err := wire.PackTable(t)
	if err != nil {
		return nil
	}
	p.tables[p.next], p.packed[p.next] = t, b
	p.next = (p.next + 1) % len(p.tables)
	return b
}

// Send queues a message for an address; called on the owner's goroutine. What
// can't be sent soon is dropped: every message is said again or made up for.
func (h *Host) Send(addr string, m *wire.Msg) {
	ch := h.out[addr]
	if ch == nil {
		ch = make(chan queued, limit.SendQueue)
		h.out[addr] = ch
		go h.sender(addr, ch)
	}
	q := queued{m: m, at: h.Now()}
	if m.Push != nil {
		q.table = h.tables.of(m.Push.Table)
	}
	select {
	case ch <- q:
	default:
	}
}

func (h *Host) sender(addr string, ch chan queued) {
	var c net.Conn
	var w *wire.Writer
	for q := range ch {
		if h.Now()-q.at > limit.SendLate { // it would only keep later ones waiting
			continue
		}
		var err error
		if c == nil {
			d := forward.Dialer(h.From(), limit.ProbeCap)
			if c, err = d.Dial("tcp", addr); err != nil {
				c = nil
				time.Sleep(limit.Redial)
				for len(ch) > 0 {
					<-ch // stale by now
				}
				continue
			}
			w = wire.NewWriter(c)
			go func(c net.Conn) { // the other side never speaks: its close is all that is read
				io.Copy(io.Discard, c)
				c.Close()
			}(c)
		}
		c.SetWriteDeadline(time.Now().Add(limit.ProxyLease))
		size := 0
		if size, err = w.PutPacked(q.m, q.table); err == nil {
			h.Traffic.add(true, q.m.Kind, size)
		}
		if err == nil && len(ch) == 0 {
			err = w.Flush()
		}
		if err != nil {
			h.Log.WithError(err).WithField("to", addr).Debug("message not sent")
			c.Close()
			c = nil
		}
	}
}
