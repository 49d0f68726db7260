// This file is a back end's connections that go wrong after a complete response.

package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// surplusConnKept is how long a connection on which a surplus response went out is kept for a next request, whose
// response is a close.
const surplusConnKept = 5 * time.Second

// surplusResponse is a response that is followed by another one.
type surplusResponse struct {
	header        http.Header
	body          []byte
	id            string // the request's, which the body and attemptHeader repeat
	attemptHeader string
	delay         time.Duration // between the two
}

// sendSurplus sends a response and, after its delay or with the next request, another one that nobody waits for: its
// id is one that no request has.
func sendSurplus(conn net.Conn, response surplusResponse) {
	defer conn.Close()
	if writeResponse(conn, response.header, response.body) != nil {
		return
	}
	next := make([]byte, 1)
	if response.delay > 0 {
		conn.SetReadDeadline(time.Now().Add(response.delay))
		if _, err := conn.Read(next); errors.Is(err, io.EOF) {
			return
		}
	}
	surplusID := "surplus-" + response.id
	body := bytes.Replace(response.body, strconv.AppendQuote(nil, response.id), strconv.AppendQuote(nil, surplusID), 1)
	header := response.header.Clone()
	header.Set(response.attemptHeader, surplusID)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if writeResponse(conn, header, body) != nil {
		return
	}
	conn.SetReadDeadline(time.Now().Add(surplusConnKept))
	conn.Read(next)
}

func writeResponse(w io.Writer, header http.Header, body []byte) error {
	var response bytes.Buffer
	fmt.Fprint(&response, "HTTP/1.1 200 OK\r\n")
	if err := header.Write(&response); err != nil {
		return err
	}
	response.WriteString("\r\n")
	response.Write(body)
	_, err := w.Write(response.Bytes())
	return err
}

// reset ends a connection at once; its other side reads an error.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
