package reverseproxy

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// targetFault is what a test target does with a request besides answering it.
type targetFault int

const (
	noFault               targetFault = iota // a complete response
	chunkedResponse                          // the same, without a length
	interimFirst                             // an interim response first
	surplusAtOnce                            // another response follows in the same piece
	surplusLater                             // another response follows whenever the scheduler gets to it
	surplusInPlace                           // the response to an earlier request comes in place of this one's
	closesAfter                              // closes without having announced it
	closesWithoutResponse                    // runs it, answers nothing and closes
	resets                                   // runs it and resets the connection
	resetsUnread                             // resets before it has read the request
	truncatedResponse                        // breaks its response off
	truncatedHeader                          // breaks its header off
	garbage                                  // sends what is no response
	rejects                                  // does not run it and says so
	failsWithStatus                          // runs it and answers 503 without saying whether it ran
	misdirected                              // answers 421
	largeResponse                            // a response that streams
	largeTruncated                           // the same, broken off
	targetFaults
)

var targetFaultNames = [targetFaults]string{"no fault", "chunks", "interim", "surplus at once", "surplus later", "surplus in place", "closes after",
	"closes without response", "resets", "resets unread", "truncated", "truncated header", "garbage", "rejects", "fails", "421", "large", "large and truncated"}

// runRecord says that a target ran a request.
type runRecord struct{ id string }

// faultyTargets are targets with faults by seed, which record each run.
type faultyTargets struct {
	targets    []wire.Target
	faults     []targetFault
	runs       chan runRecord
	goroutines sync.WaitGroup
	caused     [targetFaults]atomic.Int64
	listeners  []net.Listener
}

// payloadOf is the body that belongs to an id.
func payloadOf(id string, size int) string {
	return strings.Repeat(id+".", 1+size/(len(id)+1))
}

// responseTo is a complete response to a request.
func responseTo(id string, size int) string {
	body := payloadOf(id, size)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nA: %s\r\nP: yes\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// newFaultyTargets starts n targets.
func newFaultyTargets(t *testing.T, n int, seed uint64, faults []targetFault) *faultyTargets {
	f := &faultyTargets{faults: faults, runs: make(chan runRecord, 1<<16)}
	for i := range n {
		listener := listen(t)
		f.listeners = append(f.listeners, listener)
		f.targets = append(f.targets, wire.Target{Service: "s", Name: fmt.Sprint("t", i), Incarnation: 7, Addr: listener.Addr().String()})
		f.goroutines.Add(1)
		go func() {
			defer f.goroutines.Done()
			for connNumber := uint64(0); ; connNumber++ {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				f.goroutines.Add(1)
				go f.serve(conn.(*net.TCPConn), rand.New(rand.NewPCG(seed, uint64(i)<<32|connNumber)))
			}
		}()
	}
	return f
}

// close ends the targets and waits for their goroutines.
func (f *faultyTargets) close() {
	for _, listener := range f.listeners {
		listener.Close()
	}
	f.goroutines.Wait()
	close(f.runs)
}

// serve answers a connection's requests until a fault ends it.
func (f *faultyTargets) serve(conn *net.TCPConn, rnd *rand.Rand) {
	defer f.goroutines.Done()
	defer conn.Close()
	reader := bufio.NewReader(conn)
	previous := "early"
	for {
		fault := f.faults[rnd.IntN(len(f.faults))]
		if rnd.IntN(2) == 0 {
			fault = noFault
		}
		if fault == resetsUnread {
			if _, err := reader.Peek(1); err == nil {
				f.caused[fault].Add(1)
				conn.SetLinger(0)
			}
			return
		}
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if r.URL.Path == config.IdentityPath {
			addr := conn.LocalAddr().String()
			i := slices.IndexFunc(f.targets, func(t wire.Target) bool { return t.Addr == addr })
			identity := fmt.Sprintf(`{"service":"s","name":"%s","incarnation":7}`, f.targets[i].Name)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(identity), identity)
			continue
		}
		id := strings.TrimPrefix(r.URL.Path, "/")
		if at := strings.IndexByte(id, '/'); at >= 0 {
			id = id[at+1:]
		}
		f.caused[fault].Add(1)
		if fault != rejects && fault != misdirected {
			f.runs <- runRecord{id}
		}
		if !f.answer(conn, rnd, fault, id, previous) {
			return
		}
		previous = id
	}
}

// answer carries a fault out and returns whether the connection stays open.
func (f *faultyTargets) answer(conn *net.TCPConn, rnd *rand.Rand, fault targetFault, id, previous string) bool {
	complete := responseTo(id, rnd.IntN(300))
	large := responseTo(id, tuning.ResponseBufferMax+1000)
	send := func(s string) bool {
		_, err := io.WriteString(conn, s)
		return err == nil
	}
	switch fault {
	case chunkedResponse:
		body := payloadOf(id, 50)
		return send(fmt.Sprintf("HTTP/1.1 200 OK\r\nA: %s\r\nP: yes\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n%x\r\n%s\r\n0\r\nT: v\r\n\r\n", id, len(body), body))
	case interimFirst:
		return send("HTTP/1.1 103 X\r\nLink: x\r\n\r\n" + complete)
	case surplusAtOnce:
		return send(complete + responseTo(previous, 9))
	case surplusLater:
		if !send(complete) {
			return false
		}
		f.goroutines.Add(1)
		go func() {
			defer f.goroutines.Done()
			io.WriteString(conn, responseTo(previous, 9))
		}()
		return true
	case surplusInPlace:
		return send(responseTo(previous, 9) + complete)
	case closesAfter:
		send(complete)
		return false
	case closesWithoutResponse:
		return false
	case resets:
		conn.SetLinger(0)
		return false
	case truncatedResponse:
		send(complete[:len(complete)-1-rnd.IntN(len(id))])
		return false
	case truncatedHeader:
		send(complete[:20+rnd.IntN(15)])
		return false
	case garbage:
		send("\x00\x01 nothing that is HTTP\r\n\r\n" + complete)
		return false
	case rejects:
		return send(fmt.Sprintf("HTTP/1.1 503 X\r\nA: %s\r\nN: 1\r\nContent-Length: 0\r\n\r\n", id))
	case failsWithStatus:
		return send(fmt.Sprintf("HTTP/1.1 503 X\r\nA: %s\r\nP: own\r\nContent-Length: 4\r\n\r\nfail", id))
	case misdirected:
		return send(fmt.Sprintf("HTTP/1.1 421 X\r\nA: %s\r\nContent-Length: 0\r\n\r\n", id))
	case largeResponse:
		return send(large)
	case largeTruncated:
		send(large[:len(large)-5])
		return false
	}
	return send(complete)
}
