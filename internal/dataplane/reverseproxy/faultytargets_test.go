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

// targetFault is a fault, or a rare but valid behavior, that a test target injects when it handles a request.
type targetFault int

const (
	noFault               targetFault = iota // sends a complete response
	chunkedResponse                          // sends a complete chunked response
	interimFirst                             // sends an interim response before the response
	surplusAtOnce                            // sends another response in the same write
	surplusLater                             // sends another response later, on another goroutine
	surplusInPlace                           // sends the response to an earlier request before the request's own
	closesAfter                              // closes the connection after the response without announcing it
	closesWithoutResponse                    // runs the request and closes the connection without a response
	resets                                   // runs the request and resets the connection
	resetsUnread                             // resets the connection before it has read the request
	truncatedResponse                        // truncates the response's body
	truncatedHeader                          // truncates the response's header
	garbage                                  // sends data that is not an HTTP response
	rejects                                  // does not run the request and says so
	failsWithStatus                          // runs the request and responds with 503, without saying whether it ran
	misdirected                              // responds with 421 without running the request
	largeResponse                            // sends a response that is too large to be buffered
	largeTruncated                           // sends such a response truncated
	targetFaults                             // number of faults
)

var targetFaultNames = [targetFaults]string{"no fault", "chunked", "interim first", "surplus at once", "surplus later", "surplus in place", "closes after response",
	"closes without response", "resets", "resets unread", "truncated", "truncated header", "garbage", "rejects", "fails with status", "misdirected", "large", "large and truncated"}

// runRecord records that a target ran the request with the given id.
type runRecord struct{ id string }

// faultyTargets are targets that inject random faults, determined by a seed, and record each run of a request.
type faultyTargets struct {
	targets    []wire.Target
	faults     []targetFault
	runs       chan runRecord
	goroutines sync.WaitGroup
	injected   [targetFaults]atomic.Int64
	listeners  []net.Listener
}

// payloadOf returns the body of the response to the request with an id: more than size bytes that repeat the id.
func payloadOf(id string, size int) string {
	return strings.Repeat(id+".", 1+size/(len(id)+1))
}

// responseTo returns a complete response to the request with an id.
func responseTo(id string, size int) string {
	body := payloadOf(id, size)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nA: %s\r\nP: yes\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// newFaultyTargets starts n targets that inject the given faults.
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

// close stops the targets and waits for their goroutines.
func (f *faultyTargets) close() {
	for _, listener := range f.listeners {
		listener.Close()
	}
	f.goroutines.Wait()
	close(f.runs)
}

// serve responds to the requests on a connection until a fault or the proxy closes it.
func (f *faultyTargets) serve(conn *net.TCPConn, rnd *rand.Rand) {
	defer f.goroutines.Done()
	defer conn.Close()
	reader := bufio.NewReader(conn)
	previous := "early" // id in a surplus response that comes with the first request
	for {
		fault := f.faults[rnd.IntN(len(f.faults))]
		if rnd.IntN(2) == 0 {
			fault = noFault
		}
		if fault == resetsUnread {
			if _, err := reader.Peek(1); err == nil {
				f.injected[fault].Add(1)
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
		f.injected[fault].Add(1)
		if fault != rejects && fault != misdirected {
			f.runs <- runRecord{id}
		}
		if !f.respond(conn, rnd, fault, id, previous) {
			return
		}
		previous = id
	}
}

// respond sends the response with the given fault and reports whether the connection stays open. id is the id of the
// request, and previous that of the preceding request on the same connection.
func (f *faultyTargets) respond(conn *net.TCPConn, rnd *rand.Rand, fault targetFault, id, previous string) bool {
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
