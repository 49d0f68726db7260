package reverseproxy

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"myrtlefold/internal/shared/statemachine"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
	"myrtlefold/internal/shared/wire"
)

// A pipelined request reaches its target while the one ahead of it runs; the answers
// come in order, and no connection is announced to end while others are ahead on it.
func TestAhead(t *testing.T) {
	first, second := make(chan bool), make(chan bool)
	a := newBackend(t, "a", func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/0":
			close(first)
			<-second
		case "/1":
			close(second)
		}
		w.Header().Set("P", "a")
		fmt.Fprint(w, r.URL.Path, strings.Repeat("x", 3*tuning.ResponseBufferMax))
	})
	f := newTestProxy(t, a.Target).withHealthCheck(config.KindRepeatable)
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "GET /0 HTTP/1.1\r\nHost: h\r\n\r\n")
	<-first
	fmt.Fprintf(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	<-second
	f.forwarder.Draining.Store(true)
	rd := bufio.NewReader(c)
	for i := range 3 {
		resp, err := http.ReadResponse(rd, nil)
		if err != nil {
			t.Fatal(i, err)
		}
		if b, err := io.ReadAll(resp.Body); err != nil || !bytes.HasPrefix(b, fmt.Appendf(nil, "/%dx", i)) || len(b) != 2+3*tuning.ResponseBufferMax || i < 2 && resp.Close {
			t.Fatalf("%d: %.100q, %d bytes, %v, close %v", i, b, len(b), err, resp.Close)
		}
	}
	if n := f.forwarder.Counts.Pipelined.Load(); n != 2 {
		t.Fatal(n, "ahead")
	}
}

// The connection's end ends what was begun ahead on it.
func TestAheadGone(t *testing.T) {
	asked, ended := make(chan bool, 4), make(chan bool)
	car := New(Owner{Now: func() time.Duration { return 1 }, Notify: func(statemachine.Event) {}, Ask: func(ctx context.Context, id uint64, _ statemachine.Event) statemachine.Command {
		asked <- true
		if id == 2 {
			<-ctx.Done()
			close(ended)
		}
		<-ended
		return nil
	}}, NewPool())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: car, ConnContext: car.ConnContext}
	go srv.Serve(car.WrapListener(ln))
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "GET /0 HTTP/1.1\r\nHost: h\r\n\r\n")
	<-asked
	fmt.Fprintf(c, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
	<-asked
	srv.Close()
	<-ended
}

// bits is a connection that gives its bytes in pieces.
type pieceConn struct {
	net.Conn
	pieces [][]byte
}

func (b *pieceConn) Read(p []byte) (int, error) {
	if len(b.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.pieces[0])
	if b.pieces[0] = b.pieces[0][n:]; len(b.pieces[0]) == 0 {
		b.pieces = b.pieces[1:]
	}
	return n, nil
}

func (b *pieceConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// Whatever comes in whatever pieces, the server reads it unaltered, and what is begun
// ahead is the request that the server will read at that place.
func TestAheadIsWhatComes(t *testing.T) {
	car := New(Owner{Now: func() time.Duration { return 1 }, Notify: func(statemachine.Event) {}, Ask: func(_ context.Context, id uint64, _ statemachine.Event) statemachine.Command {
		return statemachine.Reject{ID: id, Status: 503}
	}}, nil)
	begun := 0
	rapid.Check(t, func(t *rapid.T) {
		var all []byte
		for i := range rapid.IntRange(1, 6).Draw(t, "requests") {
			all = append(all, rapid.SampledFrom([]string{
				"GET /%d HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\n", "GET /%d HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\n", "GET /%d HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\n", "HEAD /%d HTTP/1.1\r\nhost: h:80\r\n\r\n",
				"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 38\r\n\r\nGET /bad HTTP/1.1\r\nHost: h\r\nAbcd: b\r\n\r\n",
				"GET /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 38\r\n\r\nGET /bad HTTP/1.1\r\nHost: h\r\nAbcd: b\r\n\r\n",
				"GET /%d HTTP/1.1\nHost: h\n\n", "OPTIONS * HTTP/1.1\r\nHost: h%d\r\n\r\n", "GET /%d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
				"POST /%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n26\r\nGET /bad HTTP/1.1\r\nHost: h\r\nAbcd: b\r\n\r\n\r\n0\r\n\r\n",
			}).Draw(t, "request")...)
			all = bytes.Replace(all, []byte("%d"), fmt.Append(nil, i), 1)
		}
		src := &pieceConn{}
		for rest := all; len(rest) > 0; {
			n := rapid.IntRange(1, min(len(rest), 120)).Draw(t, "piece")
			src.pieces, rest = append(src.pieces, bytes.Clone(rest[:n])), rest[n:]
		}
		p := &callerConn{Conn: src, forwarder: car, ctx: t.Context(), pipelined: make(chan *pipelinedRequest, tuning.PipelineMax)}
		var got []byte
		for {
			b := make([]byte, rapid.SampledFrom([]int{1, 7, 4096}).Draw(t, "room"))
			n, err := p.Read(b)
			got = append(got, b[:n]...)
			if err != nil {
				break
			}
		}
		if !bytes.Equal(got, all) {
			t.Fatalf("%q became %q", all, got)
		}
		var reqs []*http.Request
		rd := bufio.NewReader(bytes.NewReader(all))
		for {
			r, err := http.ReadRequest(rd)
			if err != nil {
				break
			}
			io.Copy(io.Discard, r.Body)
			reqs = append(reqs, r)
		}
		for len(p.pipelined) > 0 {
			e := <-p.pipelined
			<-e.done
			begun++
			if e.number > len(reqs) || reqs[e.number-1].RequestURI != e.request.RequestURI || reqs[e.number-1].Method != e.request.Method {
				t.Fatalf("%s begun as number %d of %q", e.request.RequestURI, e.number, all)
			}
		}
	})
	if begun == 0 {
		t.Fatal("nothing was begun ahead")
	}
}

// A request that may be repeated leaves a target that nothing reaches, one that may not
// or has no attempts left waits on.
func TestDarkTarget(t *testing.T) {
	for _, c := range []struct {
		kind   config.RouteKind
		more   bool
		second int64
	}{{config.KindRepeatable, true, 1}, {config.KindOnce, true, 0}, {config.KindRepeatable, false, 0}} {
		over := make(chan bool)
		a := newBackend(t, "a", func(w http.ResponseWriter, _ *http.Request) {
			<-over
			w.Header().Set("P", "a")
			fmt.Fprint(w, "late")
		})
		b := newBackend(t, "b", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("P", "b")
			fmt.Fprint(w, "fine")
		})
		f := newTestProxy(t, a.Target, b.Target).withHealthCheck(c.kind)
		f.mayRetry = c.more
		go func() {
			<-a.seen
			f.pool.SetUnreachable(map[wire.TargetID]bool{a.ID(): true})
			if c.second == 0 {
				close(over)
			}
		}()
		status, _, body := f.do(t, "GET", "/", "")
		if want := map[int64]string{0: "late", 1: "fine"}[c.second]; status != 200 || body != want || b.runs.Load() != c.second {
			t.Errorf("%+v: %d %s, %d at the second", c, status, body, b.runs.Load())
		}
		if c.second > 0 {
			close(over)
		}
	}
}
