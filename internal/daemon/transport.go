// This file is the connections between daemons.

package daemon

import (
	"cmp"
	"io"
	"myrtlefold/internal/shared/statemachine"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/dataplane/reverseproxy"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// ListenForPeers opens the daemon's address and passes the messages of other daemons to the owner.
func (h *Process) ListenForPeers() error {
	ln, err := reverseproxy.Listen(cmp.Or(h.Settings.Bind, h.Settings.Addr), tuning.AckTimeout)
	if err != nil {
		return errors.Wrap(err, "listen for daemons")
	}
	go h.accept(ln)
	return nil
}

func (h *Process) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if passes(err) {
			time.Sleep(tuning.Redial)
			continue
		}
		if err != nil {
			h.Fatal(err, "accept from daemons")
		}
		go h.receive(c)
	}
}

// receive reads the messages of one connection until it ends, or one of them is unsound.
func (h *Process) receive(c net.Conn) {
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
			m.From = from // the sender is named once
		}
		from = m.From
		h.Traffic.add(false, m.Kind, r.Size)
		h.Loop.Post(statemachine.Receive{Message: m})
	}
}

// queued is a message that waits to be sent, and since when.
type queued struct {
	m     *wire.Message
	table *wire.PackedTable // the message's, if it is packed for all who get it
	at    time.Duration
}

// packedTables are the tables last sent. An owner never changes a table that it has handed out, so
// the pointer tells which it is.
type packedTables struct {
	tables [tuning.PackedTables]*wire.Table
	packed [tuning.PackedTables]*wire.PackedTable
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

// Send queues a message for an address; called on the owner's goroutine. Messages that can't be
// sent soon are dropped: owners repeat them, or send later ones in their place.
func (h *Process) Send(addr string, m *wire.Message) {
	ch := h.queues[addr]
	if ch == nil {
		ch = make(chan queued, tuning.SendQueue)
		h.queues[addr] = ch
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

// sender sends the messages of one queue, on a connection that is opened when there are any.
func (h *Process) sender(addr string, ch chan queued) {
	var c net.Conn
	var w *wire.Writer
	for q := range ch {
		if h.Now()-q.at > tuning.SendQueueTTL { // it would only keep later ones waiting
			continue
		}
		var err error
		if c == nil {
			if c, err = h.dial(addr); err != nil {
				c = nil
				time.Sleep(tuning.Redial)
				for len(ch) > 0 {
					<-ch // stale by now
				}
				continue
			}
			w = wire.NewWriter(c)
		}
		c.SetWriteDeadline(time.Now().Add(tuning.ProxyLease))
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

// dial opens a connection for sending. The other side never sends: only its close is read.
func (h *Process) dial(addr string) (net.Conn, error) {
	d := reverseproxy.NewDialer(h.LocalAddr(), tuning.ProbeTimeout)
	c, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	go func() {
		io.Copy(io.Discard, c)
		c.Close()
	}()
	return c, nil
}
