package daemon

import (
	"bufio"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/tcpinfo"
)

// emptyDomainCall is a change that names no base.
const emptyDomainCall = "POST /v1/domains/z/empty HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"

// networkDelay is how long a test holds a call on an open connection. It exceeds the resolution of the kernel's times.
const networkDelay = 10 * tcpinfo.Resolution

// acceptGap is how much later than its handshake a connection may be accepted and count as accepted at once: a tick by the
// kernel's count, which may be two.
const acceptGap = 2 * tcpinfo.Resolution

// passTime returns once the process's clock has advanced by a time.
func (test *closingTest) passTime(duration time.Duration) {
	for end := test.process.Now() + duration; test.process.Now() < end; {
		runtime.Gosched()
	}
}

// receiveCall returns the call that the state machine receives next, and the item with its reply channel.
func (test *closingTest) receiveCall() (statemachine.Call, loopItem) {
	item := <-test.process.Loop.queue
	return item.event.(statemachine.Call), item
}

// respondTo answers a call and reads the response from the caller's connection.
func (test *closingTest) respondTo(item loopItem, conn net.Conn) {
	test.Helper()
	item.reply <- statemachine.Reply{ID: item.callID, Status: http.StatusOK, Body: []byte("{}")}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		test.Fatalf("response %v, %v; want status 200", response, err)
	}
}

// TestLateCallCountsFromItsHandshake guards against a call that the network has held, after its caller had opened the
// connection, and that counts as sent when it arrives: its caller may have given it up, made a later change elsewhere, and
// closed the connection, the end of which is still on its way.
func TestLateCallCountsFromItsHandshake(t *testing.T) {
	test := newClosingTest(t)
	addr := test.serveCalls()
	beforeOpen := test.process.Now()
	conn := test.dial(addr)
	opened := test.process.Now()
	test.passTime(networkDelay)
	test.send(conn, emptyDomainCall)
	call, _ := test.receiveCall()
	if known := call.CallerKnownAt; known > opened+acceptGap || known < beforeOpen-2*acceptGap {
		t.Errorf("the caller is known to wait at %v; the connection was opened from %v to %v", known, beforeOpen, opened)
	}
}

// TestCallOnAKeptConnectionCountsFromTheLastResponse checks that a caller that has received a response is known to have been
// there then, so that its next change is not overtaken by the one before.
func TestCallOnAKeptConnectionCountsFromTheLastResponse(t *testing.T) {
	test := newClosingTest(t)
	conn := test.dial(test.serveCalls())
	test.send(conn, emptyDomainCall)
	_, first := test.receiveCall()
	test.passTime(networkDelay)
	answered := test.process.Now()
	test.respondTo(first, conn)
	received := test.process.Now()
	test.passTime(networkDelay)
	test.send(conn, emptyDomainCall)
	call, _ := test.receiveCall()
	if known := call.CallerKnownAt; known < answered || known > received {
		t.Errorf("the caller is known to wait at %v; it got its last response from %v to %v", known, answered, received)
	}
}

// TestAcceptedLateCountsFromItsHandshake guards against a daemon that stood still while a connection waited to be accepted: the
// call on it counts from the handshake, not from the time at which the daemon continues.
func TestAcceptedLateCountsFromItsHandshake(t *testing.T) {
	test := newClosingTest(t)
	listener := listen(t)
	conn := test.dial(listener.Addr().String())
	opened := test.process.Now()
	test.send(conn, emptyDomainCall)
	test.passTime(networkDelay)
	server := test.process.newAPIServer(test.process.CallHandler(firstCallID))
	test.process.serveOn(listener, server, nil)
	t.Cleanup(func() { server.Close() })
	if call, _ := test.receiveCall(); call.CallerKnownAt > opened {
		t.Errorf("the caller is known to wait at %v; the connection was opened before %v", call.CallerKnownAt, opened)
	}
}

// TestHandshakeSentAt checks that what a late handshake leaves open counts against the call: it is certain only that the caller
// was there after the kernel had sent its part.
func TestHandshakeSentAt(t *testing.T) {
	const now = time.Minute
	for name, c := range map[string]struct {
		info unix.TCPInfo
		want time.Duration
	}{
		"prompt":                             {unix.TCPInfo{Rtt: 300}, now - 300*time.Microsecond},
		"prompt, with a tick in between":     {unix.TCPInfo{Rtt: 300, Last_data_sent: 10}, now - 300*time.Microsecond},
		"acknowledged late":                  {unix.TCPInfo{Rtt: 2_800_000, Total_retrans: 1}, now - 2800*time.Millisecond},
		"waited to be accepted":              {unix.TCPInfo{Rtt: 300, Last_data_sent: 5000}, now - 5*time.Second - 300*time.Microsecond - tcpinfo.Resolution},
		"sent again, nobody knows which one": {unix.TCPInfo{Total_retrans: 1}, 0},
		"before the process started":         {unix.TCPInfo{Rtt: 300, Last_data_sent: 100_000}, 0},
	} {
		if got := handshakeSentAt(now, &c.info); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// TestIsAcknowledged checks that a response counts as received only if all of it was acknowledged on a connection that is open.
func TestIsAcknowledged(t *testing.T) {
	const closed = 7 // TCP_CLOSE
	for name, c := range map[string]struct {
		info unix.TCPInfo
		want bool
	}{
		"acknowledged": {unix.TCPInfo{State: tcpinfo.Established}, true},
		"under way":    {unix.TCPInfo{State: tcpinfo.Established, Unacked: 1}, false},
		"not yet sent": {unix.TCPInfo{State: tcpinfo.Established, Notsent_bytes: 1}, false},
		"reset":        {unix.TCPInfo{State: closed}, false},
	} {
		if got := isAcknowledged(&c.info); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
