package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes and times of the case "early".
const (
	earlyBodyBytes   = 200_000 // of a request; the configuration allows 64 MiB
	earlyAnswerBytes = 120_000 // of an answer
	earlyPieceBytes  = 8_000   // that the client sends at a time
	earlyPieceEvery  = 5 * time.Millisecond
	earlyRequests    = 12
)

// earlyCase checks what targets receive of long bodies.
type earlyCase struct {
	log     *record
	trouble bool
	changed atomic.Int64 // bodies that a target received with other bytes than the client sent
	mutex   sync.Mutex
	sent    map[string][]byte // bodies by the requests' ids
}

// playEarly sends long requests to targets that answer before they have read the body, keep the connection and read on.
func playEarly(f *fleet, log *record, trouble bool) (broken bool, err error) {
	c := &earlyCase{log: log, trouble: trouble, sent: map[string][]byte{}}
	for i, zone := range zones {
		t, err := startTarget(f, fmt.Sprintf("i-%d", i), "belge", zone, fmt.Sprintf("127.77.%d.100", i+1), c.serve)
		if err != nil {
			return false, err
		}
		defer t.end()
	}
	if err := configure(f, log, "once"); err != nil {
		return false, err
	}
	answered := 0
	for i := range earlyRequests {
		gate := f.proxies[i%len(f.proxies)]
		if c.send(f.counter(gate), fmt.Sprintf("long-%d", i), i%2 == 1) {
			answered++
		}
		if c.sendShort(f.counter(gate), fmt.Sprintf("short-%d", i)) {
			answered++
		}
	}
	time.Sleep(time.Second)
	log.printf("%d of %d requests were answered; %d bodies were changed", answered, 2*earlyRequests, c.changed.Load())
	if !trouble && answered < 2*earlyRequests {
		return false, errors.New("without the disruption, not all requests were answered")
	}
	return c.changed.Load() > 0, nil
}

// configure sends the first configuration, with one route of the given kind, and waits until the fleet serves by it.
func configure(f *fleet, log *record, kind string) error {
	document := fmt.Sprintf(`{"revision":3,"routes":{"r-1":{"host":"sefer.example","prefix":"/yukle/","kind":%q,"timeout_ms":5000,`+
		`"aim_ms":1000,"priority":0,"service":"belge","attempts":2}},"services":{"belge":{"health_path":"/health","conn_cap":96,`+
		`"proto":"h1","tls":false,"cold_s":3.0,"cold_per_s":19.0}},"limits":{"header_bytes":16384,"body_bytes":67108864,`+
		`"header_ms":3000,"idle_ms":15000}}`, kind)
	status, _ := f.order(15*time.Second, http.MethodPut, "/v1/config", "0", []byte(document))
	if status != http.StatusOK {
		return fmt.Errorf("the configuration was answered %d", status)
	}
	log.printf("configuration 3 acknowledged")
	if err := f.awaitReady(15 * time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // the targets' first beats and health checks
	return nil
}

// send sends a request with a long body in pieces and reads the answer. It reports whether the answer is a whole success.
func (c *earlyCase) send(addr, id string, chunked bool) (answered bool) {
	body := bytes.Repeat([]byte(id+"."), earlyBodyBytes/len(id)+1)[:earlyBodyBytes]
	for i := range body {
		body[i] += byte(i / 1000 % 7) // so that a piece at another place differs
	}
	c.mutex.Lock()
	c.sent[id] = body
	c.mutex.Unlock()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		c.log.printf("%s: %v", id, err)
		return false
	}
	defer conn.Close()
	framing := fmt.Sprintf("Content-Length: %d", len(body))
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(conn, "POST /yukle/1 HTTP/1.1\r\nHost: sefer.example\r\nX-Attempt-Id: %s\r\nX-Time-Left-Ms: 5000\r\n%s\r\n\r\n", id, framing)
	c.log.printf("%s: sent to %s, %s, %d bytes of body follow", id, addr, framing, len(body))
	go func() {
		if err := sendPieces(conn, body, chunked); err != nil {
			c.log.printf("%s: sending ended: %v", id, err)
		}
	}()
	conn.SetReadDeadline(time.Now().Add(6 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		c.log.printf("%s: no answer: %v", id, err)
		return false
	}
	received, err := io.ReadAll(response.Body)
	c.log.printf("%s: answered %d by %q with %d bytes, error %v", id, response.StatusCode, response.Header.Get("X-Postmark"), len(received), err)
	return err == nil && response.StatusCode == http.StatusOK && len(received) == earlyAnswerBytes
}

// sendPieces sends a body in pieces, each as a chunk if the body is chunked.
func sendPieces(conn net.Conn, body []byte, chunked bool) error {
	for len(body) > 0 {
		piece := body[:min(len(body), earlyPieceBytes)]
		body = body[len(piece):]
		if chunked {
			piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := conn.Write(piece); err != nil {
			return err
		}
		time.Sleep(earlyPieceEvery)
	}
	if chunked {
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err
	}
	return nil
}

// sendShort sends a request of another client with a short body. It reports whether the answer is a whole success.
func (c *earlyCase) sendShort(addr, id string) (answered bool) {
	body := []byte("the whole body of " + id)
	c.mutex.Lock()
	c.sent[id] = body
	c.mutex.Unlock()
	request, err := http.NewRequest(http.MethodPost, "http://"+addr+"/yukle/2", bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Host = "sefer.example"
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Time-Left-Ms", "2000")
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		c.log.printf("%s: no answer: %v", id, err)
		return false
	}
	defer response.Body.Close()
	received, err := io.ReadAll(response.Body)
	c.log.printf("%s: answered %d by %q with %d bytes, error %v", id, response.StatusCode, response.Header.Get("X-Postmark"), len(received), err)
	return err == nil && response.StatusCode == http.StatusOK
}

// serve serves a request at a target. With the disruption, the target answers before it reads the body.
func (c *earlyCase) serve(t *target, conn net.Conn, _ *bufio.Reader, request *http.Request) bool {
	id := request.Header.Get("X-Attempt-Id")
	c.mutex.Lock()
	sent, known := c.sent[id]
	c.mutex.Unlock()
	c.log.printf("%s runs %s %s, id %q, %d bytes of body", t.id, request.Method, request.URL.Path, id, request.ContentLength)
	if !known {
		c.log.printf("%s: no client sent a request with id %q", t.id, id)
		c.changed.Add(1)
		return false
	}
	answer := bytes.Repeat([]byte{'a'}, earlyAnswerBytes)
	early := c.trouble && len(sent) == earlyBodyBytes
	if early {
		go t.answer(conn, request, answer)
	}
	received, err := io.ReadAll(request.Body)
	c.log.printf("%s: %d of %d bytes of the body of %s read, error %v", t.id, len(received), len(sent), id, err)
	n := min(len(sent), len(received))
	switch at := firstDifference(sent[:n], received[:n]); {
	case at >= 0:
		c.changed.Add(1)
		c.log.printf("%s: the body of %s differs from byte %d on: sent %q, received %q", t.id, id, at, excerpt(sent[at:]), excerpt(received[at:]))
	case err == nil && len(received) != len(sent):
		c.changed.Add(1)
		c.log.printf("%s: the body of %s is whole, with another length", t.id, id)
	}
	if err != nil {
		return false
	}
	if !early {
		return t.answer(conn, request, answer) == nil
	}
	return true
}

// firstDifference returns the index of the first byte that differs, -1 if there is none.
func firstDifference(a, b []byte) int {
	for i := range a {
		if a[i] != b[i] {
			return i
		}
	}
	return -1
}

// excerpt returns the first bytes of data.
func excerpt(data []byte) []byte { return data[:min(len(data), 60)] }
