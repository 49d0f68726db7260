// This file simulates network partitions and delays. Every address that a daemon or back end advertises belongs to a
// relay, which can hold back the data that one machine sends to another, or delay all data. Held-back data is delivered
// when the cut ends, however late that is: late messages are a harder test for the fleet than lost ones. The relays
// identify machines by the source addresses of their connections, so no privileges are needed.

package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// network holds the cuts and the delay that the fleet's relays apply.
type network struct {
	cuts  atomic.Pointer[map[[2]string]bool] // pairs of sending and receiving machine; the map is replaced, never modified
	delay atomic.Int64                       // added to each read, in ns; 0: none
}

func hostOf(addr string) string {
	h, _, _ := net.SplitHostPort(addr)
	return h
}

// machineOf returns the part of an address that identifies its machine; it is the same for bind and relay addresses.
func machineOf(addr string) string {
	return strings.TrimPrefix(bindAddressOf(hostOf(addr)), prefixes.bind)
}

// relayAddressOf returns the relay address in front of a bind address.
func relayAddressOf(addr string) string {
	return strings.Replace(addr, prefixes.bind, prefixes.relay, 1)
}

// bindAddressOf returns the bind address behind a relay address.
func bindAddressOf(addr string) string {
	return strings.Replace(addr, prefixes.relay, prefixes.bind, 1)
}

// defaultLoopbackNetwork is the default second octet of the fleet's bind addresses.
const defaultLoopbackNetwork = 20

// prefixes are the address prefixes of this fleet. They are set once, before anything is started. Fleets with different
// prefixes can run side by side.
var prefixes = addressPrefixesOf(defaultLoopbackNetwork)

// addressPrefixes are the prefixes of the loopback addresses on which machines listen (bind) and at which the other machines
// reach them (relay).
type addressPrefixes struct{ bind, relay string }

// addressPrefixesOf returns the prefixes with the given second octet for bind addresses and the next higher one for relay
// addresses.
func addressPrefixesOf(net int) addressPrefixes {
	return addressPrefixes{fmt.Sprintf("127.%d.", net), fmt.Sprintf("127.%d.", net+1)}
}

// directedPairs returns the pairs of sending and receiving machine between two groups: from a to b if aToB is set, and
// from b to a if bToA is set.
func directedPairs(a, b []*process, aToB, bToA bool) map[[2]string]bool {
	m := map[[2]string]bool{}
	for _, x := range a {
		for _, y := range b {
			p, q := machineOf(x.bind), machineOf(y.bind)
			if aToB && p != q {
				m[[2]string{p, q}] = true
			}
			if bToA && p != q {
				m[[2]string{q, p}] = true
			}
		}
	}
	return m
}

// setCuts replaces all cuts; nil heals the network.
func (n *network) setCuts(cuts map[[2]string]bool) { n.cuts.Store(&cuts) }

func (n *network) isCut(from, to string) bool {
	m := n.cuts.Load()
	return m != nil && (*m)[[2]string{from, to}]
}

// relay accepts connections at one address and forwards them to another until the process ends.
func (n *network) relay(at, to string) error {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go n.forward(c, to)
		}
	}()
	return nil
}

// forward connects to an address as soon as the network between the two machines is not cut, and copies data between that
// connection and the caller's until either direction ends.
func (n *network) forward(caller net.Conn, address string) {
	defer caller.Close()
	src, dst := machineOf(caller.RemoteAddr().String()), machineOf(address)
	for n.isCut(src, dst) || n.isCut(dst, src) { // a TCP handshake needs both directions
		time.Sleep(5 * time.Millisecond)
	}
	d, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		caller.(*net.TCPConn).SetLinger(0) // closes with a reset, so that the caller sees an error
		return
	}
	defer d.Close()
	done := make(chan bool, 2)
	go func() { n.copyStream(caller, d, src, dst); done <- true }()
	go func() { n.copyStream(d, caller, dst, src); done <- true }()
	<-done
}

// copyStream copies the data that machine src sends to machine dst. It holds the data back while that direction is cut, and
// delays each read by n.delay.
func (n *network) copyStream(source, destination net.Conn, src, dst string) {
	buffer := make([]byte, 64<<10)
	for {
		count, err := source.Read(buffer)
		for n.isCut(src, dst) {
			time.Sleep(5 * time.Millisecond)
		}
		if d := n.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		if count > 0 {
			if _, werr := destination.Write(buffer[:count]); werr != nil {
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				if t, ok := destination.(*net.TCPConn); ok {
					t.CloseWrite()
				}
			}
			return
		}
	}
}
