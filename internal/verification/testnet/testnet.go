// Package testnet makes the connections of callers that tests need.
package testnet

import (
	"net"
	"syscall"
)

// SmallWindow returns a dialer whose TCP connections have a receive buffer of the given size in bytes. A peer has then
// written a response long before the caller has received it.
func SmallWindow(size int) net.Dialer {
	return net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
}
