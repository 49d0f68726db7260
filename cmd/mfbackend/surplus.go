// This file is a back end's connections that go wrong after a whole answer.

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// surplusKept is how long a connection on which a surplus answer went out is kept for a
// next request, which is answered by a close.
const surplusKept = 5 * time.Second

// surplusAnswer sends an answer and, after a while, another one that nobody waits for: with
// the id of the request before it, or with one that no request has.
func surplusAnswer(c net.Conn, header http.Header, body []byte, id, attempt string, late time.Duration) {
	defer c.Close()
	if writeAnswer(c, header, body) != nil {
		return
	}
	next := make([]byte, 1)
	if late > 0 {
		c.SetReadDeadline(time.Now().Add(late))
		if _, err := c.Read(next); err == io.EOF {
			return
		}
	}
	other := header.Clone()
	other.Set(attempt, "surplus-"+id)
	body = bytes.Replace(body, strconv.AppendQuote(nil, id), strconv.AppendQuote(nil, "surplus-"+id), 1)
	other.Set("Content-Length", strconv.Itoa(len(body)))
	if writeAnswer(c, other, body) != nil {
		return
	}
	c.SetReadDeadline(time.Now().Add(surplusKept))
	c.Read(next)
}

func writeAnswer(w io.Writer, header http.Header, body []byte) error {
	var b bytes.Buffer
	fmt.Fprint(&b, "HTTP/1.1 200 OK\r\n")
	if err := header.Write(&b); err != nil {
		return err
	}
	b.WriteString("\r\n")
	b.Write(body)
	_, err := w.Write(b.Bytes())
	return err
}

// reset ends a connection at once; its other side reads an error.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}
