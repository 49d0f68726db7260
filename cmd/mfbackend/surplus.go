// Faults of a connection: an unsolicited (surplus) response after a complete one, and resets.

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

// surplusConnTimeout is how long a connection stays open after a surplus response. A request that arrives on it within
// this time gets no response; the connection is closed.
const surplusConnTimeout = 5 * time.Second

// surplusResponse describes a response that is followed by a surplus one.
type surplusResponse struct {
	header        http.Header   // of the first response
	body          []byte        // of the first response
	id            string        // id of the request, contained in body and in attemptHeader
	attemptHeader string        // name of the header that repeats id
	delay         time.Duration // between the two responses
}

// sendSurplus writes a response and, after the delay or when the next request arrives, an unsolicited one, whose id
// belongs to no request. Then it closes the connection.
func sendSurplus(conn net.Conn, response surplusResponse) {
	defer conn.Close()
	if writeResponse(conn, response.header, response.body) != nil {
		return
	}
	firstByte := make([]byte, 1) // of the next request
	if response.delay > 0 {
		conn.SetReadDeadline(time.Now().Add(response.delay))
		if _, err := conn.Read(firstByte); errors.Is(err, io.EOF) {
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
	conn.SetReadDeadline(time.Now().Add(surplusConnTimeout))
	conn.Read(firstByte)
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

// reset closes a connection with a TCP reset, so that the peer gets a read error.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
