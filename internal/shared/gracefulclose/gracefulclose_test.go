package gracefulclose

import (
	"bytes"
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/verification/testnet"
)

// largeOutput is longer than what a peer with smallWindow receives without reading, and shorter than what the kernel takes
// from a writer at once.
const largeOutput = 300_000

// smallWindow is the size of the receive buffer of a peer, in bytes.
const smallWindow = 4 << 10

// long is a bound that no test reaches.
const long = time.Hour

// pair returns both ends of a connection: the one that a group closes and its peer, which has a small window.
func pair(t *testing.T, group *Group) (accepted net.Conn, peer *net.TCPConn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	dialer := testnet.SmallWindow(smallWindow)
	dialed, err := dialer.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close() })
	if accepted, err = group.Listener(inner).Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return accepted, dialed.(*net.TCPConn)
}

// waitFor waits until a condition holds, and fails the test if it does not within 20 s.
func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatal("timed out waiting until " + description)
		}
	}
}

func write(t *testing.T, conn net.Conn, size int) {
	t.Helper()
	if _, err := conn.Write(bytes.Repeat([]byte{'x'}, size)); err != nil {
		t.Fatal(err)
	}
}

// expect checks the value of a counter.
func expect(t *testing.T, name string, got, want uint64) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %d, want %d", name, got, want)
	}
}

// TestCloseDeliversOutput guards against output that is lost in a reset: the connection is closed while input is unread, or
// input arrives after the close.
func TestCloseDeliversOutput(t *testing.T) {
	for name, input := range map[string]struct{ before, after int }{
		"no input":               {0, 0},
		"input before":           {100, 0},
		"input after":            {0, 100},
		"input before and after": {5000, 5000},
	} {
		t.Run(name, func(t *testing.T) {
			group := NewGroup(Bounds{Total: long, Stall: long, Check: time.Millisecond, Conns: 1})
			accepted, peer := pair(t, group)
			write(t, peer, input.before)
			write(t, accepted, largeOutput)
			if err := accepted.Close(); err != nil {
				t.Fatal(err)
			}
			write(t, peer, input.after)
			got, err := io.ReadAll(peer)
			if len(got) != largeOutput || err != nil {
				t.Errorf("the peer read %d bytes, %v; want all %d and the end", len(got), err, largeOutput)
			}
			peer.Close()
			waitFor(t, "the connection is closed", func() bool {
				return group.Counts.Finished.Load()+group.Counts.Refused.Load() == 1
			})
			expect(t, "Started", group.Counts.Started.Load(), 1)
			expect(t, "Undelivered", group.Counts.Undelivered.Load(), 0)
			if input.before > 0 {
				expect(t, "Refused", group.Counts.Refused.Load(), 1)
			}
		})
	}
}

// sendForever sends until the connection is reset.
func sendForever(peer net.Conn) {
	for {
		if _, err := peer.Write([]byte("more")); err != nil {
			return
		}
	}
}

// TestBounds guards against peers that hold up a process: each bound ends the close of a connection whose peer does not
// close it, and is counted.
func TestBounds(t *testing.T) {
	const short = 300 * time.Millisecond // longer than the kernel delays an acknowledgement
	readAll := func(peer net.Conn) { io.Copy(io.Discard, peer) }
	readNothing := func(net.Conn) {}
	for name, c := range map[string]struct {
		total, stall      time.Duration
		stopping          bool
		output            int
		behave            func(peer net.Conn)
		timedOut, stalled uint64
		undelivered       uint64
	}{
		"silent":                        {total: long, stall: short, output: largeOutput, behave: readAll, stalled: 1},
		"silent without output":         {total: long, stall: short, behave: readAll, stalled: 1},
		"reads nothing":                 {total: short, stall: short, output: largeOutput, behave: readNothing, timedOut: 1, undelivered: 1},
		"sends and reads nothing":       {total: short, stall: long, output: largeOutput, behave: sendForever, timedOut: 1, undelivered: 1},
		"stop: silent":                  {total: long, stall: short, stopping: true, output: smallWindow / 4, behave: readAll, stalled: 1},
		"stop: reads nothing":           {total: long, stall: short, stopping: true, output: largeOutput, behave: readNothing, stalled: 1, undelivered: 1},
		"stop: sends and reads nothing": {total: long, stall: short, stopping: true, output: largeOutput, behave: sendForever, stalled: 1, undelivered: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			group := NewGroup(Bounds{Total: c.total, Stall: c.stall, Check: time.Millisecond, Conns: 1})
			accepted, peer := pair(t, group)
			if c.stopping {
				group.Stop()
			}
			write(t, accepted, c.output)
			accepted.Close()
			go c.behave(peer)
			waitFor(t, "the connection is cut off", func() bool { return group.Closing() == 0 })
			waitFor(t, "the bound is counted", func() bool { return group.Counts.TimedOut.Load()+group.Counts.Stalled.Load() > 0 })
			expect(t, "TimedOut", group.Counts.TimedOut.Load(), c.timedOut)
			expect(t, "Stalled", group.Counts.Stalled.Load(), c.stalled)
			expect(t, "Undelivered", group.Counts.Undelivered.Load(), c.undelivered)
			expect(t, "Finished", group.Counts.Finished.Load(), 0)
		})
	}
}

// TestSlowReaderIsNotCutOff guards against the loss of output that a peer takes long to read: unless the process stops,
// only Bounds.Total limits its pauses.
func TestSlowReaderIsNotCutOff(t *testing.T) {
	group := NewGroup(Bounds{Total: long, Stall: time.Nanosecond, Check: time.Millisecond, Conns: 1})
	accepted, peer := pair(t, group)
	write(t, peer, 1)
	write(t, accepted, largeOutput)
	accepted.Close()
	write(t, peer, 1)
	if got, err := io.ReadAll(peer); len(got) != largeOutput || err != nil {
		t.Errorf("the peer read %d bytes, %v; want all %d and the end", len(got), err, largeOutput)
	}
}

// TestUnreadInputIsRefused guards against a request that is read and gets no answer: input that arrives on a connection that
// is being closed is not read, and the peer is told by a reset once it has all output.
func TestUnreadInputIsRefused(t *testing.T) {
	group := NewGroup(Bounds{Total: long, Stall: long, Check: time.Millisecond, Conns: 1})
	accepted, peer := pair(t, group)
	accepted.Close()
	if _, err := io.ReadAll(peer); err != nil {
		t.Fatal(err)
	}
	write(t, peer, 1)
	waitFor(t, "the input is refused", func() bool { return group.Counts.Refused.Load() == 1 })
	waitFor(t, "the peer's connection is reset", func() bool {
		_, err := peer.Write([]byte("x"))
		return err != nil
	})
}

// TestOldestIsCutOff checks that the number of connections that are being closed stays within Bounds.Conns.
func TestOldestIsCutOff(t *testing.T) {
	group := NewGroup(Bounds{Total: long, Stall: long, Check: time.Millisecond, Conns: 2})
	var peers []*net.TCPConn
	for range 4 {
		accepted, peer := pair(t, group)
		accepted.Close()
		peers = append(peers, peer)
	}
	expect(t, "Crowded", group.Counts.Crowded.Load(), 2)
	if n := group.Closing(); n != 2 {
		t.Errorf("%d connections are being closed, want 2", n)
	}
	for _, peer := range peers {
		peer.Close()
	}
	waitFor(t, "the others are closed", func() bool { return group.Closing() == 0 })
	expect(t, "Started", group.Counts.Started.Load(), 4)
	waitFor(t, "the others are counted", func() bool { return group.Counts.Finished.Load() == 2 })
}

// TestNothingIsReadAfterClose guards against a request that is run though its response can't be written: a Read that is in
// progress and later ones return net.ErrClosed, also if input arrives.
func TestNothingIsReadAfterClose(t *testing.T) {
	group := NewGroup(Bounds{Total: long, Stall: long, Check: time.Millisecond, Conns: 1})
	accepted, peer := pair(t, group)
	reads := make(chan error)
	go func() {
		for range 2 {
			n, err := accepted.Read(make([]byte, 10))
			if n > 0 {
				err = errors.Newf("read %d bytes", n)
			}
			reads <- err
		}
	}()
	accepted.Close()
	write(t, peer, 5)
	for range 2 {
		if err := <-reads; !errors.Is(err, net.ErrClosed) {
			t.Errorf("Read returned %v, want net.ErrClosed", err)
		}
	}
	if err := accepted.SetReadDeadline(time.Time{}); !errors.Is(err, net.ErrClosed) {
		t.Errorf("SetReadDeadline returned %v, want net.ErrClosed", err)
	}
	if err := accepted.Close(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the second Close returned %v, want net.ErrClosed", err)
	}
}

// TestPeerThatClosedIsNotAwaited checks that a connection is closed at once if its peer has closed it before.
func TestPeerThatClosedIsNotAwaited(t *testing.T) {
	group := NewGroup(Bounds{Total: long, Stall: long, Check: time.Millisecond, Conns: 1})
	accepted, peer := pair(t, group)
	peer.Close()
	if _, err := accepted.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Fatalf("Read returned %v, want io.EOF", err)
	}
	if err := accepted.Close(); err != nil {
		t.Fatal(err)
	}
	expect(t, "Started", group.Counts.Started.Load(), 0)
	if n := group.Closing(); n != 0 {
		t.Errorf("%d connections are being closed, want 0", n)
	}
}
