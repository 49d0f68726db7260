// Connections between daemons. Each connection carries messages in one direction: a daemon sends on the connections
// that it opens and receives on those that it accepts.

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

// Transport sends messages to other daemons and posts received messages to the loop.
type Transport struct {
	log       *logrus.Logger
	clock     *Clock
	loop      *Loop
	traffic   *Traffic
	localAddr net.Addr // local address of connections, nil for the system's choice

	queues map[string]chan outgoing // send queues by address; owned by the loop's goroutine
	tables packedTables             // encodings of tables that go to several daemons; owned by the loop's goroutine
}

// Listen accepts connections of other daemons on addr until the context ends. If accepting fails before, it calls
// failed with the error on another goroutine.
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
			time.Sleep(tuning.RedialDelay)
			continue
		}
		if err != nil {
			return err
		}
		go t.receive(ctx, conn)
	}
}

// isTransient reports whether accepting can succeed later after an error: no file descriptor was free, or the peer
// aborted the connection.
func isTransient(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

// receive posts the messages of one connection until it closes, a message can't be decoded, or the context ends.
func (t *Transport) receive(ctx context.Context, conn net.Conn) {
	defer closeOnDone(ctx, conn)()
	reader := wire.NewReader(conn)
	sender := ""
	for {
		encoded, err := reader.Next()
		if err != nil {
			return
		}
		message, err := wire.Decode(encoded)
		if err != nil {
			t.log.WithError(err).WithField("from", conn.RemoteAddr().String()).Warn("closing connection: message decoding failed")
			return
		}
		if message.From == "" {
			message.From = sender // the sender is named only in the first message and when it changes
		}
		sender = message.From
		t.traffic.add(received, message.Kind, reader.Size)
		t.loop.Post(statemachine.Receive{Message: message})
	}
}

// closeOnDone closes a connection when the context ends or the returned function is called.
func closeOnDone(ctx context.Context, conn net.Conn) (closeNow func()) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	return func() {
		stop()
		conn.Close()
	}
}

// outgoing is a queued message.
type outgoing struct {
	message  *wire.Message
	table    *wire.PackedTable // the message's table in packed form, nil if it has to be encoded with the message
	queuedAt time.Duration
}

// Send queues a message for an address. It must be called on the loop's goroutine and does not block. Messages that
// can't be sent within tuning.SendQueueTTL, or find the queue full, are dropped: state machines repeat them or send
// newer ones.
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
			if t.clock.Now()-item.queuedAt <= tuning.SendQueueTTL { // older messages would only delay newer ones
				s.send(ctx, item)
			}
		}
	}
}

// sender sends messages to one address. It is owned by the goroutine of runSender.
type sender struct {
	*Transport
	addr       string
	queue      chan outgoing
	writer     *wire.Writer // nil if not connected
	conn       net.Conn
	disconnect func() // closes conn
}

// send writes a message and connects first if necessary. It flushes the writer when the queue is empty.
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
		s.log.WithError(err).WithField("to", s.addr).Debug("sending failed, message dropped")
		s.disconnect()
		s.writer = nil
	}
}

// connect opens the connection. If that fails, it waits for tuning.RedialDelay and drops the queued messages, which are
// stale by then.
func (s *sender) connect(ctx context.Context) bool {
	dialer := reverseproxy.NewDialer(s.localAddr, tuning.ProbeTimeout)
	conn, err := dialer.DialContext(ctx, "tcp", s.addr)
	if err != nil {
		select {
		case <-time.After(tuning.RedialDelay):
		case <-ctx.Done():
		}
		for len(s.queue) > 0 {
			<-s.queue
		}
		return false
	}
	s.conn, s.writer, s.disconnect = conn, wire.NewWriter(conn), closeOnDone(ctx, conn)
	go func() { // the peer sends nothing: reading only detects that it closes the connection
		io.Copy(io.Discard, conn)
		conn.Close()
	}()
	return true
}
