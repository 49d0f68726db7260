// Package tcpinfo reads what the kernel knows of a TCP connection (TCP_INFO in tcp(7)).
package tcpinfo

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Established is the State of a connection that neither side has closed (TCP_ESTABLISHED).
const Established = 1

// Resolution is the resolution of times that the kernel counts in ticks, at 100 ticks per second.
const Resolution = 10 * time.Millisecond

// Get returns the kernel's information on a connection. known is false if conn is not a TCP connection or is closed.
func Get(conn net.Conn) (info *unix.TCPInfo, known bool) {
	socket, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return nil, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, false
	}
	controlErr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if controlErr != nil || err != nil {
		return nil, false
	}
	return info, true
}
