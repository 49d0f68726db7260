// This file has the options of the sockets that connections are opened and accepted with.

package reverseproxy

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"myrtlefold/internal/shared/tuning"
)

// keepAlive finds out that the other side of an idle connection is gone.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     tuning.KeepAliveIdle,
	Interval: tuning.KeepAliveInterval,
	Count:    tuning.KeepAliveCount,
}

// NewDialer returns a dialer of connections that break when the other side acknowledges nothing for
// tuning.AckTimeout. source is the address that they leave from, nil for the system's choice; timeout is for
// opening one.
func NewDialer(source net.Addr, timeout time.Duration) *net.Dialer {
	return &net.Dialer{LocalAddr: source, Timeout: timeout, Control: userTimeout(tuning.AckTimeout), KeepAliveConfig: keepAlive}
}

// Listen listens on a TCP address for connections that break when the other side acknowledges nothing for
// ackTimeout.
func Listen(addr string, ackTimeout time.Duration) (net.Listener, error) {
	config := net.ListenConfig{Control: userTimeout(ackTimeout), KeepAliveConfig: keepAlive}
	return config.Listen(context.Background(), "tcp", addr)
}

// userTimeout returns a control function that sets how long sent data may stay unacknowledged (TCP_USER_TIMEOUT,
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

// expiredDeadline returns a deadline that ends whatever waits on a connection.
func expiredDeadline() time.Time { return time.Now().Add(-time.Second) }
