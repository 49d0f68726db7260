// This file is the connections between daemons. Each carries messages one way: a daemon sends on the connections
// that it opened, and reads from those that others opened.

package daemon

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"myrtlefold/internal/dataplane/reverseproxy"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// Transport sends messages to other daemons and posts theirs to the loop.
type Transport struct {
	log       *logrus.Logger
	clock     *Clock
	loop      *Loop
	traffic   *Traffic
	localAddr net.Addr // that connections leave from, nil: the system's choice

	queues map[string]chan outgoing // messages to be sent, by address; the loop's goroutine owns them
	tables packedTables             // those that are sent to many; the loop's goroutine owns them
}

// Listen accepts other daemons' connections on addr until the context ends. failed gets the error that ends it
// before, on a goroutine of its own.
func (t *Transport) Listen(ctx context.Context, addr string, failed func(error)) error {
	listener, err := reverseproxy.Listen(addr, tuning.AckTimeout)
	if err != nil {
		return errors.Wrapf(err, "listen for daemons on %s", addr)
	}
	context.AfterFunc(ctx, func() { listener.Close() })
	go func() {
		if err := t.accept(ctx, listener); ctx.Err() == nil {
			failed(errors.Wrapf(err, "accept connections of daemons on %s", addr))
		}
	}()
	return nil
}

func (t *Transport) accept(ctx context.Context, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if isTransient(err) {
			time.Sleep(tuning.Redial)
			continue
		}
		if err != nil {
			return err
		}
		go t.receive(ctx, conn)
	}
}

// isTransient reports whether a listener's error ends by itself: descriptors come free, or one caller went.
func isTransient(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

// receive posts the messages of one connection until it or the context ends, or a message can't be decoded.
func (t *Transport) receive(ctx context.Context, conn net.Conn) {
	defer closeAtEnd(ctx, conn)()
	reader := wire.NewReader(conn)
	sender := ""
	for {
		encoded, err := reader.Next()
		if err != nil {
			return
		}
		message, err := wire.Decode(encoded)
		if err != nil {
			t.log.WithError(err).WithField("from", conn.RemoteAddr().String()).Warn("message can't be decoded; connection closed")
			return
		}
		if message.From == "" {
			message.From = sender // the first message of a connection names the sender for all
		}
		sender = message.From
		t.traffic.add(received, message.Kind, reader.Size)
		t.loop.Post(statemachine.Receive{Message: message})
	}
}

// closeAtEnd closes a connection when the context ends, or when the returned function is called.
func closeAtEnd(ctx context.Context, conn net.Conn) (closeNow func()) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	return func() {
		stop()
		conn.Close()
	}
}

// outgoing is a message that waits to be sent.
type outgoing struct {
	message  *wire.Message
	table    *wire.PackedTable // the message's, if it is packed for all who get it
	queuedAt time.Duration
}

// Send queues a message for an address; only on the loop's goroutine, which it doesn't keep waiting. Messages that
// can't be sent soon are dropped: state machines repeat them, or send later ones in their place.
func (t *Transport) Send(ctx context.Context, addr string, message *wire.Message) {
	queue := t.queues[addr]
	if queue == nil {
		queue = make(chan outgoing, tuning.SendQueue)
		t.queues[addr] = queue
		go t.runSender(ctx, addr, queue)
	}
	item := outgoing{message: message, queuedAt: t.clock.Now()}
	if message.Push != nil {
		item.table = t.tables.pack(message.Push.Table)
	}
	select {
	case queue <- item:
	default:
	}
}

// runSender sends the messages of one queue until the context ends.
func (t *Transport) runSender(ctx context.Context, addr string, queue chan outgoing) {
	s := sender{Transport: t, addr: addr, queue: queue}
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-queue:
			if t.clock.Now()-item.queuedAt <= tuning.SendQueueTTL { // an older one would only delay later ones
				s.send(ctx, item)
			}
		}
	}
}

// sender sends messages to one address; the goroutine of runSender owns it.
type sender struct {
	*Transport
	addr       string
	queue      chan outgoing
	writer     *wire.Writer // nil: there is no connection
	conn       net.Conn
	disconnect func() // closes conn
}

// send sends a message, on a connection that it opens if there is none. What is written goes out when no other
// message waits.
func (s *sender) send(ctx context.Context, item outgoing) {
	if s.writer == nil && !s.connect(ctx) {
		return
	}
	s.conn.SetWriteDeadline(time.Now().Add(tuning.ProxyLease))
	size, err := s.writer.PutPacked(item.message, item.table)
	if err == nil {
		s.traffic.add(sent, item.message.Kind, size)
	}
	if err == nil && len(s.queue) == 0 {
		err = s.writer.Flush()
	}
	if err != nil {
		s.log.WithError(err).WithField("to", s.addr).Debug("message not sent")
		s.disconnect()
		s.writer = nil
	}
}

// connect opens the connection. If it can't, it waits a little and drops what is in the queue, which is stale by then.
func (s *sender) connect(ctx context.Context) bool {
	dialer := reverseproxy.NewDialer(s.localAddr, tuning.ProbeTimeout)
	conn, err := dialer.DialContext(ctx, "tcp", s.addr)
	if err != nil {
		select {
		case <-time.After(tuning.Redial):
		case <-ctx.Done():
		}
		for len(s.queue) > 0 {
			<-s.queue
		}
		return false
	}
	s.conn, s.writer, s.disconnect = conn, wire.NewWriter(conn), closeAtEnd(ctx, conn)
	go func() { // the other side never sends: this reads only its close
		io.Copy(io.Discard, conn)
		conn.Close()
	}()
	return true
}
