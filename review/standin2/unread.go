package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// unreadBase is the version that the configurations of the case "unread" build on, and unreadVersion the first of theirs.
const (
	unreadBase    = 3
	unreadVersion = 7
)

// unreadCount and unreadGap are the number of invalid configurations and the time between two, as in the site file.
const (
	unreadCount = 3
	unreadGap   = time.Second
)

// unreadBodies holds the ways in which an operator sends a configuration that can't be read whole. Each returns what is sent
// after the request line and the other headers.
var unreadBodies = []struct {
	name  string
	bytes func(document string) string
	ends  bool // the operator then closes its side of the connection, and still reads the answer
}{
	{"the body ends before its length", cutShort, true},
	{"the body ends within a chunk", func(document string) string {
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s", len(document), document[:len(document)/2])
	}, true},
	{"a chunk has no valid length", func(document string) string {
		half := len(document) / 2
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n-\r\n", half, document[:half])
	}, false},
}

// cutShort returns a header with the length of a document, and the first half of the document.
func cutShort(document string) string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(document), document[:len(document)/2])
}

// playUnread sends configurations of which only a part arrives. Without the disruption they arrive whole.
func playUnread(f *fleet, log *record, trouble bool) (broken bool, err error) {
	if err := configure(f, log, "once"); err != nil {
		return false, err
	}
	acknowledged, base := 0, unreadBase
	for i := range unreadCount {
		version := unreadVersion + 2*i
		document := unreadDocument(version)
		way, sent, ends := "whole", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(document), document), false
		if trouble {
			way, sent, ends = unreadBodies[i].name, unreadBodies[i].bytes(document), unreadBodies[i].ends
		}
		core := f.cores[i%len(f.cores)]
		log.printf("configuration %d, on top of %d, sent to %s: %s", version, base, core.name, way)
		status, answer, err := putRaw(f.api(core), base, sent, ends)
		log.printf("configuration %d: answered %d %q, error %v", version, status, answer, err)
		if status == http.StatusOK {
			acknowledged++
			if !trouble {
				base = version
			}
		}
		time.Sleep(unreadGap)
	}
	status, answer := f.order(5*time.Second, http.MethodGet, "/v1/config?plain", "", nil)
	log.printf("read back: %d %.80s...", status, answer)
	if !trouble {
		if acknowledged < unreadCount || !strings.Contains(string(answer), fmt.Sprintf(`"revision":%d`, base)) {
			return false, errors.New("without the disruption, the configurations were not acknowledged")
		}
		return false, nil
	}
	log.printf("%d of %d configurations that could not be read whole were acknowledged", acknowledged, unreadCount)
	return acknowledged > 0, nil
}

// unreadDocument returns a valid configuration.
func unreadDocument(version int) string {
	return fmt.Sprintf(`{"revision":%d,"routes":{"r-1":{"host":"sefer.example","prefix":"/yukle/","kind":"once","timeout_ms":4000,`+
		`"aim_ms":1000,"priority":0,"service":"belge","attempts":2}},"services":{"belge":{"health_path":"/health","conn_cap":96,`+
		`"proto":"h1","tls":false,"cold_s":3.0,"cold_per_s":19.0}},"limits":{"header_bytes":16384,"body_bytes":67108864,`+
		`"header_ms":3000,"idle_ms":15000}}`, version)
}

// putRaw sends the configuration call with the given rest of the header and body, and reads the answer.
func putRaw(addr string, base int, rest string, ends bool) (status int, answer []byte, err error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, nil, err
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "PUT /v1/config HTTP/1.1\r\nHost: %s\r\nIf-Match: %d\r\nContent-Type: application/json\r\n%s", addr, base, rest); err != nil {
		return 0, nil, err
	}
	if ends {
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			return 0, nil, err
		}
	}
	conn.SetReadDeadline(time.Now().Add(8 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil, err
	}
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, bytes.TrimSpace(answer), err
}
