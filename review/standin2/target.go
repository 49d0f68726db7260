package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// target is a stand-in for a target: it reports to the core and serves requests as the pages say. It counts as well at all
// times.
type target struct {
	id, service, zone string
	addr              string
	slots             int
	listener          net.Listener
	number            atomic.Uint64
	stop              chan struct{}
	closing           atomic.Bool
	// serve answers a request that the target has accepted. It returns false if the connection ends with the request.
	serve func(t *target, conn net.Conn, reader *bufio.Reader, request *http.Request) bool
}

// heartbeat is the body of a target's report.
type heartbeat struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Domain   string `json:"domain"`
	Revision string `json:"revision"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	ColdLeft int    `json:"cold_left_ms"`
	Number   uint64 `json:"number"`
}

// startTarget starts a target at a free port of an address.
func startTarget(f *fleet, id, service, zone, ip string, serve func(*target, net.Conn, *bufio.Reader, *http.Request) bool) (*target, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	t := &target{
		id: id, service: service, zone: zone, addr: listener.Addr().String(), slots: 6,
		listener: listener, stop: make(chan struct{}), serve: serve,
	}
	go t.accept()
	go t.report(f)
	return t, nil
}

// report sends a beat every 1500 ms, and to the next core machine if one does not acknowledge it.
func (t *target) report(f *fleet) {
	first := int(t.addr[len(t.addr)-1])
	for {
		state := "ready"
		if t.closing.Load() {
			state = "leaving"
		}
		for i := range f.cores {
			t.number.Add(1)
			body, _ := json.Marshal(heartbeat{t.service, t.addr, t.zone, "v1", t.slots, state, 0, t.number.Load()})
			status, _, err := f.call(f.cores[(first+i)%len(f.cores)], http.MethodPut, "/v1/targets/"+t.id, "", body)
			if err == nil && status/100 == 2 {
				break
			}
		}
		select {
		case <-t.stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

func (t *target) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.serveConn(conn)
	}
}

// serveConn serves the requests of a connection one after another.
func (t *target) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		switch expected := request.Header.Get("X-Expect-Target"); {
		case request.URL.Path == "/health":
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Target-Id: %s\r\nContent-Length: 0\r\n\r\n", t.id)
		case expected != "" && expected != t.id:
			io.Copy(io.Discard, request.Body)
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Target-Id: %s\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n",
				t.id, request.Header.Get("X-Attempt-Id"))
		case !t.serve(t, conn, reader, request):
			return
		}
	}
}

// answer writes a success with the target's stamp and a body of the given size.
func (t *target) answer(conn net.Conn, request *http.Request, body []byte) error {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Postmark: %s.%d\r\nContent-Length: %d\r\n\r\n%s",
		request.Header.Get("X-Attempt-Id"), t.id, t.number.Load(), len(body), body)
	return err
}

// end stops the reports and the listener. Connections stay open.
func (t *target) end() {
	close(t.stop)
	t.listener.Close()
}

// record is the text file that a case leaves behind.
type record struct {
	mutex sync.Mutex
	file  io.Writer
	start time.Time
}

// printf writes a line with the time since the start.
func (r *record) printf(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
