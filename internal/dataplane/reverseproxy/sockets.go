// This file sets the socket options of connections to targets and from callers.

package reverseproxy

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"myrtlefold/internal/shared/tuning"
)

// keepAlive configures TCP keep-alive probes, which detect that the peer of an idle connection is gone.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     tuning.KeepAliveIdle,
	Interval: tuning.KeepAliveInterval,
	Count:    tuning.KeepAliveCount,
}

// NewDialer returns a dialer whose connections fail when the peer leaves sent data unacknowledged for
// tuning.AckTimeout. source is the local address, nil to let the system choose. timeout limits the time to connect.
func NewDialer(source net.Addr, timeout time.Duration) *net.Dialer {
	return &net.Dialer{LocalAddr: source, Timeout: timeout, Control: userTimeout(tuning.AckTimeout), KeepAliveConfig: keepAlive}
}

// Listen listens on a TCP address for connections that fail when the peer leaves sent data unacknowledged for
// ackTimeout.
func Listen(addr string, ackTimeout time.Duration) (net.Listener, error) {
	config := net.ListenConfig{Control: userTimeout(ackTimeout), KeepAliveConfig: keepAlive}
	return config.Listen(context.Background(), "tcp", addr)
}

// userTimeout returns a control function that limits how long sent data may remain unacknowledged (TCP_USER_TIMEOUT in
// tcp(7)).
func userTimeout(timeout time.Duration) func(network, addr string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}

// expiredDeadline returns a deadline in the past, which ends all pending reads or writes of a connection.
func expiredDeadline() time.Time { return time.Now().Add(-time.Second) }
