package gracefulclose

import (
	"container/list"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"myrtlefold/internal/shared/tcpinfo"
)

// Conn is a TCP connection that is closed gracefully.
type Conn struct {
	net.Conn
	tcp        *net.TCPConn // equal to Conn
	group      *Group
	closing    atomic.Bool   // Close was called
	peerClosed atomic.Bool   // reading has failed: the peer has closed or reset the connection
	position   *list.Element // in group.closing, nil if it is not there; guarded by the queue's mutex
}

// Read reads from the connection. Once Close was called it returns net.ErrClosed, also if input has arrived, so that no
// request is served whose response could not be written, and leaves the input unread.
func (c *Conn) Read(buffer []byte) (int, error) {
	if c.closing.Load() {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(buffer)
	if c.closing.Load() {
		return 0, net.ErrClosed
	}
	if err != nil && !isTimeout(err) {
		c.peerClosed.Store(true)
	}
	return n, err
}

// isTimeout reports whether reading failed because its deadline has passed.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// SetReadDeadline sets the deadline of Read. Once Close was called it returns net.ErrClosed.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	if c.closing.Load() {
		return net.ErrClosed
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline sets the deadlines of Read and Write. Once Close was called it returns net.ErrClosed.
func (c *Conn) SetDeadline(deadline time.Time) error {
	if c.closing.Load() {
		return net.ErrClosed
	}
	return c.Conn.SetDeadline(deadline)
}

// SyscallConn returns the raw connection, for socket options.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// CloseWrite closes the write side of the connection.
func (c *Conn) CloseWrite() error { return c.tcp.CloseWrite() }

// Close closes the write side and returns. The rest of the close follows in the background. A Read in progress returns
// net.ErrClosed.
func (c *Conn) Close() error {
	if !c.closing.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	if c.peerClosed.Load() || c.tcp.CloseWrite() != nil {
		return c.Conn.Close()
	}
	c.Conn.SetReadDeadline(time.Now().Add(-time.Second)) // ends a Read in progress
	c.group.Counts.Started.Add(1)
	if oldest := c.group.closing.add(c, c.group.bounds.Conns); oldest != nil {
		oldest.cutOff(&c.group.Counts.Crowded)
	}
	now := time.Now()
	closing := pendingClose{conn: c, startedAt: now, progressAt: now, unacknowledged: unknown}
	go closing.run()
	return nil
}

// Reset closes the connection at once with a reset, which discards output that the peer has not acknowledged.
func (c *Conn) Reset() error {
	if !c.closing.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	c.tcp.SetLinger(0)
	return c.Conn.Close()
}

// PeerConnected reports whether the peer has neither closed its side nor reset the connection. It asks the kernel, which
// knows also if input from before that has not been read.
func (c *Conn) PeerConnected() bool {
	info, known := tcpinfo.Get(c.tcp)
	return known && info.State == tcpinfo.Established
}

// leave closes the socket of a connection whose output is delivered, unless a bound has done so before, and counts how it
// was closed.
func (c *Conn) leave(count *atomic.Uint64) {
	if c.group.closing.remove(c) {
		count.Add(1)
		c.Conn.Close()
	}
}

// expire cuts the connection off for the bound that the counter belongs to, unless another bound has done so before.
func (c *Conn) expire(bound *atomic.Uint64) {
	if c.group.closing.remove(c) {
		c.cutOff(bound)
	}
}

// cutOff closes the socket of a connection that has left the group's queue.
func (c *Conn) cutOff(bound *atomic.Uint64) {
	if c.unacknowledged() > 0 {
		c.group.Counts.Undelivered.Add(1)
	}
	bound.Add(1)
	c.Conn.Close()
}

// inputState is what a connection's receive queue holds.
type inputState int

// States of the receive queue.
const (
	inputNone   inputState = iota // nothing
	inputUnread                   // input that was not read
	inputClosed                   // the end of the input, or the connection was reset
)

// peekInput looks at the receive queue without reading from it.
func (c *Conn) peekInput() inputState {
	raw, err := c.SyscallConn()
	if err != nil {
		return inputClosed
	}
	var n int
	buffer := make([]byte, 1)
	controlErr := raw.Control(func(fd uintptr) { n, _, err = unix.Recvfrom(int(fd), buffer, unix.MSG_PEEK|unix.MSG_DONTWAIT) })
	switch {
	case controlErr != nil:
		return inputClosed
	case errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR):
		return inputNone
	case err != nil || n == 0:
		return inputClosed
	}
	return inputUnread
}

// unknown is the result of Conn.unacknowledged if the system does not tell.
const unknown = -1

// unacknowledged returns how many bytes of output the peer has not acknowledged. The end of the output counts as one.
func (c *Conn) unacknowledged() int {
	raw, err := c.SyscallConn()
	if err != nil {
		return unknown
	}
	bytes := unknown
	controlErr := raw.Control(func(fd uintptr) { bytes, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if controlErr != nil || err != nil {
		return unknown
	}
	return bytes
}
