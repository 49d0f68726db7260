// This file implements connections to targets. Each is an HTTP/1.1 connection over TCP that carries one request at a
// time, written and read by the request's goroutine. The proxy therefore knows whether any byte of a request was
// written, an idle connection needs no goroutine, and unsolicited data is detected before the connection is reused.

package reverseproxy

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
)

// responseHeaderMax is the maximum number of bytes that are read for a response's header.
const responseHeaderMax = 4 * tuning.HeaderMax

// Conn is a connection to a target. It may be used by only one goroutine at a time.
type Conn struct {
	netConn       net.Conn
	rawConn       syscall.RawConn // of netConn
	reader        *bufio.Reader   // reads through Conn.Read, which enforces readLimit
	writeBuffer   []byte          // reused for each request
	readLimit     int64           // how many more bytes may be read
	fresh         bool            // nothing has been written to the connection
	partlyWritten bool            // a request was written in part; the target would take further data for its rest
	reuseUntil    time.Time       // the target may close the connection after this; zero if it announced no timeout
	lastUsed      atomic.Int64    // when it was last put into a pool, in ns since processStart; read by other goroutines
}

// Dial opens a connection to a target. source is the local address, nil to let the system choose.
func Dial(ctx context.Context, addr string, source net.Addr) (*Conn, error) {
	netConn, err := NewDialer(source, tuning.DialTimeout).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	conn := &Conn{netConn: netConn, fresh: true}
	if conn.rawConn, err = netConn.(syscall.Conn).SyscallConn(); err != nil {
		netConn.Close()
		return nil, err
	}
	conn.reader = bufio.NewReader(conn)
	return conn, nil
}

// Read reads from the target. Once readLimit is used up, it fails with errInvalidResponse.
func (c *Conn) Read(buffer []byte) (int, error) {
	if c.readLimit <= 0 {
		return 0, errInvalidResponse
	}
	if int64(len(buffer)) > c.readLimit {
		buffer = buffer[:c.readLimit]
	}
	n, err := c.netConn.Read(buffer)
	c.readLimit -= int64(n)
	return n, err
}

// Addr returns the target's address.
func (c *Conn) Addr() string { return c.netConn.RemoteAddr().String() }

// Close closes the connection.
func (c *Conn) Close() { c.netConn.Close() }

// isIdle reports whether the connection is open and no data has arrived since the last response. Its deadline must not
// have passed.
func (c *Conn) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	nothingToRead := false
	var peeked [1]byte
	err := c.rawConn.Read(func(fd uintptr) bool {
		for {
			_, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			if err == unix.EINTR {
				continue
			}
			nothingToRead = err == unix.EAGAIN
			return true
		}
	})
	return err == nil && nothingToRead
}

// awaitResponse waits until data arrives, reading fails, the deadline is near or ctx ends, and then returns true. It
// returns false if no data has arrived and isUnreachable, which it calls at intervals, reports that the wait should be
// abandoned.
func (c *Conn) awaitResponse(ctx context.Context, deadline time.Time, isUnreachable func() bool) bool {
	c.readLimit = responseHeaderMax
	for wait := tuning.UnreachableCheckAfter; ; wait = tuning.UnreachableCheckEvery {
		checkAt := time.Now().Add(wait)
		if !checkAt.Before(deadline) {
			break
		}
		c.netConn.SetReadDeadline(checkAt)
		_, err := c.reader.Peek(1)
		var netError net.Error
		if err == nil || !errors.As(err, &netError) || !netError.Timeout() || ctx.Err() != nil {
			break
		}
		if isUnreachable() && c.noResponseYet(deadline) {
			return false
		}
	}
	c.netConn.SetReadDeadline(deadline)
	if ctx.Err() != nil {
		c.netConn.SetDeadline(expiredDeadline())
	}
	return true
}

// noResponseYet reports whether no data has arrived. A read whose deadline has passed does not check the socket, so if
// the process was suspended, a response may have arrived that the read did not notice.
func (c *Conn) noResponseYet(deadline time.Time) bool {
	c.netConn.SetReadDeadline(deadline)
	return c.isIdle()
}

// readHeader reads the status line and the header of the response to a request with the given method. It skips up to
// tuning.InterimMax-1 interim responses.
func (c *Conn) readHeader(method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	for range tuning.InterimMax {
		c.readLimit = responseHeaderMax
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if !isValid(resp) {
			return nil, errInvalidResponse
		}
		if resp.StatusCode >= http.StatusOK {
			c.readLimit = math.MaxInt64
			c.setReuseUntil(resp)
			return resp, nil
		}
	}
	return nil, errInvalidResponse
}

// isValid reports whether a response is HTTP/1 with a three-digit status and does not switch protocols.
func isValid(resp *http.Response) bool {
	return resp.ProtoMajor == 1 && resp.StatusCode >= 100 && resp.StatusCode <= 999 &&
		resp.StatusCode != http.StatusSwitchingProtocols
}

// setReuseUntil sets reuseUntil from the timeout that the target announces in the Keep-Alive header.
func (c *Conn) setReuseUntil(resp *http.Response) {
	c.reuseUntil = time.Time{}
	for parameter := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			c.reuseUntil = time.Now().Add(time.Duration(seconds)*time.Second - tuning.IdleTimeoutMargin)
		}
	}
}

// Get sends a GET request and reads the response. headers alternates names and values. reusable reports whether the
// connection may be used again. A body of more than tuning.ProbeBodyMax bytes is not read completely, and the connection
// is then not reusable.
func (c *Conn) Get(deadline time.Time, host, path string, headers ...string) (resp *http.Response, body []byte, reusable bool, err error) {
	c.netConn.SetDeadline(deadline)
	if !c.fresh && !c.isIdle() {
		return nil, nil, false, net.ErrClosed
	}
	c.fresh = false
	c.writeBuffer = appendGet(c.writeBuffer[:0], host, path, headers)
	if _, err = c.netConn.Write(c.writeBuffer); err != nil {
		return nil, nil, false, err
	}
	if resp, err = c.readHeader(http.MethodGet); err != nil {
		return nil, nil, false, err
	}
	body, complete, err := readComplete(resp, tuning.ProbeBodyMax)
	return resp, body, complete && !resp.Close && c.reader.Buffered() == 0, err
}

// appendGet appends a GET request to out.
func appendGet(out []byte, host, path string, headers []string) []byte {
	out = append(out, "GET "...)
	out = append(out, path...)
	out = append(out, " HTTP/1.1\r\n"...)
	out = appendHeader(out, "Host", host)
	for i := 0; i+1 < len(headers); i += 2 {
		out = appendHeader(out, headers[i], headers[i+1])
	}
	return append(out, "\r\n"...)
}

// Identify requests the identity of a target without a health check. reusable reports whether the connection may be
// used again.
func (c *Conn) Identify(deadline time.Time, addr string) (report *config.TargetReport, reusable bool, err error) {
	resp, body, reusable, err := c.Get(deadline, addr, config.IdentityPath)
	if err != nil {
		return nil, false, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, false, errors.Newf("%s answers %d to GET %s; a target without a health check has to answer 200 with its identity",
			addr, resp.StatusCode, config.IdentityPath)
	}
	report = &config.TargetReport{}
	return report, reusable, errors.Wrapf(json.Unmarshal(body, report), "identity of the target at %s", addr)
}

// readComplete reads a response's body if it is not larger than limit bytes. Of a larger body it reads nothing if the
// size is known, and otherwise up to limit bytes. complete reports whether the whole body was read.
func readComplete(resp *http.Response, limit int) (body []byte, complete bool, err error) {
	size := resp.ContentLength
	switch {
	case resp.Body == http.NoBody || size == 0:
		return nil, true, nil
	case size > int64(limit):
		return nil, false, nil
	case size < 0:
		return readUpTo(resp.Body, limit)
	}
	body = make([]byte, size)
	_, err = io.ReadFull(resp.Body, body)
	return body, err == nil, err
}

// readUpTo reads up to limit bytes from source. complete reports whether the end of source was reached.
func readUpTo(source io.Reader, limit int) (data []byte, complete bool, err error) {
	const (
		firstBytes   = 4 << 10
		growthFactor = 4
	)
	data = make([]byte, 0, min(limit, firstBytes))
	for {
		if len(data) == cap(data) {
			if len(data) >= limit {
				return data, false, nil
			}
			data = append(make([]byte, 0, min(limit, growthFactor*cap(data))), data...)
		}
		n, err := source.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, true, nil
		}
		if err != nil {
			return data, false, err
		}
	}
}
