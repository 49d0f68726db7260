package carry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"myrtlefold/gate"
	"myrtlefold/limit"
	"myrtlefold/model"
	"myrtlefold/wire"
)

// backend is a back end whose exchanges do what the test says.
type backend struct {
	wire.Target
	srv  *httptest.Server
	runs atomic.Int64
	seen chan *http.Request
}

func serve(t *testing.T, name string, h http.HandlerFunc) *backend {
	b := &backend{seen: make(chan *http.Request, 16)}
	b.srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == model.IdentityPath {
			json.NewEncoder(w).Encode(model.Beat{Service: b.Service, Name: b.Name, Incarnation: b.Inc})
			return
		}
		b.runs.Add(1)
		b.seen <- r
		h(w, r)
	}))
	t.Cleanup(b.srv.Close)
	b.Target = wire.Target{Service: "s", Name: name, Inc: 7, Addr: b.srv.Listener.Addr().String()}
	return b
}

func hijack(say string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		c, buf, _ := http.NewResponseController(w).Hijack()
		buf.WriteString(say)
		buf.Flush()
		c.Close()
	}
}

func fine(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "ran %s", b)
}

// front runs a carrier whose owner gives the targets in turn, then refuses.
type front struct {
	url    string
	pool   *Pool
	asked  []any
	told   chan any
	addr   string
	client *http.Client
	now    atomic.Int64
}

func carrier(t *testing.T, targets ...wire.Target) *front {
	f := &front{pool: NewPool(), told: make(chan any, 64)}
	live := map[wire.ID]string{}
	for _, x := range targets {
		live[x.ID()] = x.Addr
	}
	f.pool.Live(live)
	c := New(Owner{Now: func() time.Duration { return time.Duration(f.now.Load()) }, Tell: func(ev any) { f.told <- ev }, Ask: func(_ context.Context, id uint64, ev any) any {
		f.asked = append(f.asked, ev)
		n := 0
		for _, a := range f.asked {
			if _, ok := a.(gate.Admit); ok {
				n = 0
			} else {
				n++
			}
		}
		if n >= len(targets) {
			return gate.Refuse{ID: id, Status: 503, Retry: 2 * time.Second, Code: "busy", Message: "none left"}
		}
		return gate.Give{ID: id, Service: "s", Target: targets[n], Left: 5 * time.Second, Till: limit.ChoiceLife, Set: model.Service{BodyMax: 100 << 10, Tries: 3}}
	}}, f.pool)
	srv := httptest.NewServer(c)
	t.Cleanup(func() { srv.Close(); f.pool.Close() })
	f.url, f.addr = srv.URL, srv.Listener.Addr().String()
	f.client = &http.Client{Transport: &http.Transport{}}
	return f
}

func (f *front) do(t *testing.T, method, path, body string, hd ...string) (int, http.Header, string) {
	t.Helper()
	req, _ := http.NewRequest(method, f.url+path, strings.NewReader(body))
	for i := 0; i+1 < len(hd); i += 2 {
		req.Header.Set(hd[i], hd[i+1])
	}
	resp, err := f.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(b)
}

// What an answer's loss means for each kind of exchange, and that nothing that
// may have run is ever sent again.
func TestLostAnswers(t *testing.T) {
	gone, _ := net.Listen("tcp", "127.0.0.1:0")
	dead := wire.Target{Service: "s", Name: "dead", Inc: 7, Addr: gone.Addr().String()}
	gone.Close()
	for _, c := range []struct {
		name, method, say string
		dead              bool
		status            int
		ran               string
		first, second     int64
	}{
		{"POST, answer lost", "POST", "", false, 502, "unknown", 1, 0},
		{"POST, garbage", "POST", "\x00\x01\r\n\r\n", false, 502, "unknown", 1, 0},
		{"GET, answer lost", "GET", "", false, 200, "", 1, 1},
		{"GET, garbage", "GET", "no HTTP\r\n\r\n", false, 200, "", 1, 1},
		{"POST, nothing sent", "POST", "", true, 200, "", 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, b := serve(t, "a", hijack(c.say)), serve(t, "b", fine)
			first := a.Target
			if c.dead {
				first = dead
			}
			f := carrier(t, first, b.Target)
			// A key that some libraries take as leave to send again must change nothing.
			status, h, _ := f.do(t, c.method, "/x", "body", "Idempotency-Key", "k")
			if status != c.status || h.Get(RanHeader) != c.ran || a.runs.Load() != c.first || b.runs.Load() != c.second {
				t.Fatalf("status %d ran %q, runs %d and %d", status, h.Get(RanHeader), a.runs.Load(), b.runs.Load())
			}
			if status >= 500 && h.Get("Retry-After") == "" {
				t.Fatal("no Retry-After")
			}
			if c.second > 0 {
				if r := <-b.seen; r.Header.Get("Idempotency-Key") != "k" {
					t.Fatal("the key was not passed on")
				}
			}
		})
	}
}

// An answer that ends early must not look whole: one that is held is made up for by
// an error, one that streams cuts the caller's pipe.
func TestCutAnswer(t *testing.T) {
	for _, say := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"} {
		f := carrier(t, serve(t, "a", hijack(say)).Target)
		resp, err := f.client.Get(f.url + "/x")
		if err == nil {
			var b []byte
			b, err = io.ReadAll(resp.Body)
			resp.Body.Close()
			if err == nil && (resp.StatusCode != 502 || resp.Header.Get(RanHeader) != "unknown" || bytes.Contains(b, []byte("half"))) {
				t.Fatalf("read %q as a whole answer", b)
			}
		}
	}
}

// A pipe is used only for the identity that the table names.
func TestIdentity(t *testing.T) {
	a := serve(t, "a", fine)
	other := a.Target
	other.Name = "moved"
	f := carrier(t, other)
	status, h, _ := f.do(t, "POST", "/x", "body")
	if status != 503 || h.Get(RanHeader) != "no" || a.runs.Load() != 0 {
		t.Fatalf("status %d ran %q runs %d", status, h.Get(RanHeader), a.runs.Load())
	}
}

// A choice has a short life: a proxy that froze between choosing and writing
// writes nothing, on a new pipe or a kept one, and asks its owner again.
func TestOldChoice(t *testing.T) {
	a := serve(t, "a", fine)
	f := carrier(t, a.Target)
	if status, _, _ := f.do(t, "POST", "/x", "body"); status != 200 {
		t.Fatal(status)
	}
	<-f.told
	f.now.Store(int64(limit.ChoiceLife + 1)) // the pool holds a pipe by now
	for range 2 {
		status, h, _ := f.do(t, "POST", "/x", "body")
		if d := (<-f.told).(gate.Done); status != 503 || h.Get(RanHeader) != "no" || d.Outcome != gate.Stale {
			t.Fatalf("%d, ran %q, outcome %v", status, h.Get(RanHeader), d.Outcome)
		}
		if e := f.asked[len(f.asked)-1].(gate.Again); e.Sent {
			t.Fatal("counted as sent")
		}
	}
	if a.runs.Load() != 1 {
		t.Fatalf("ran %d times", a.runs.Load())
	}
}

// No pipe outlives its target's entry in the table.
func TestPipeLeavesWithItsTarget(t *testing.T) {
	a := serve(t, "a", fine)
	f := carrier(t, a.Target)
	for range 3 {
		f.do(t, "GET", "/x", "")
	}
	if d := <-f.told; d.(gate.Done).Outcome != gate.Served {
		t.Fatal(d)
	}
	take := func(p *Pool) *Pipe { return p.take(a.Target.ID(), time.Hour, time.Now().Add(time.Hour)) }
	p := take(f.pool)
	if p == nil {
		t.Fatal("no pipe was kept")
	}
	f.pool.give(a.Target.ID(), p)
	f.pool.Live(map[wire.ID]string{})
	if take(f.pool) != nil || p.quiet() {
		t.Fatal("the pipe is still open")
	}
	g := carrier(t, a.Target)
	g.pool.Live(map[wire.ID]string{}) // it left while the exchange was under way
	g.do(t, "GET", "/x", "")
	if take(g.pool) != nil {
		t.Fatal("a pipe came back for a target that left")
	}
}

// Errors have one shape, and bodies, headers and trailers pass as they are.
func TestShape(t *testing.T) {
	a := serve(t, "a", func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		w.Header().Set("X-Len", fmt.Sprint(len(b)))
		w.Header().Set("Trailer", "X-Sum")
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.WriteHeader(207)
		w.Write(b)
		w.Header().Set("X-Sum", "s")
	})
	f := carrier(t, a.Target)
	for _, c := range []struct {
		method, path, body string
		head               []string
		status             int
		ran                string
	}{
		{"GET", "/a/../b", "", nil, 400, "no"},
		{"GET", "/a%2fb", "", nil, 400, "no"},
		{"GET", "/a", "", []string{DeadlineHeader, "soon"}, 400, "no"},
		{"GET", "/a", "", []string{"X-Big", strings.Repeat("x", 40<<10)}, 431, "no"},
		{"POST", "/a", strings.Repeat("x", 101<<10), nil, 413, "no"},
	} {
		status, h, b := f.do(t, c.method, c.path, c.body, c.head...)
		var e struct{ Error model.Trouble }
		if json.Unmarshal([]byte(b), &e) != nil || status != c.status || e.Error.Ran != c.ran || h.Get(RanHeader) != c.ran || e.Error.Code == "" {
			t.Errorf("%s %s: %d %s", c.method, c.path, status, b)
		}
	}
	if a.runs.Load() != 0 {
		t.Fatal("a bad request ran")
	}
	body := strings.Repeat("0123456789", 9000) // over what is kept for sending again
	req, _ := http.NewRequest("PUT", f.url+"/q?a=1&a=2", io.MultiReader(strings.NewReader(body)))
	req.Header.Set("Connection", "X-Mine")
	req.Header.Set("X-Mine", "1")
	resp, err := f.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(resp.Body)
	r := <-a.seen
	if err != nil || string(b) != body || resp.StatusCode != 207 || resp.Header.Get("X-Hop") != "" || resp.Trailer.Get("X-Sum") != "s" || resp.Header.Get("X-Len") != fmt.Sprint(len(body)) {
		t.Fatalf("%v %d %v %v, %d bytes", err, resp.StatusCode, resp.Header, resp.Trailer, len(b))
	}
	if r.Header.Get("X-Mine") != "" || r.Header.Get("X-Forwarded-For") == "" || r.URL.RawQuery != "a=1&a=2" || r.Host != f.addr || r.Header.Get(DeadlineHeader) == "" {
		t.Fatalf("%v %v %v", r.Header, r.URL, r.Host)
	}
}

// Chunks of an answer go on before the next is there.
func TestStreams(t *testing.T) {
	next := make(chan bool)
	a := serve(t, "a", func(w http.ResponseWriter, r *http.Request) {
		for i := range 3 {
			fmt.Fprintf(w, "part %d\n", i)
			w.(http.Flusher).Flush()
			<-next
		}
	})
	f := carrier(t, a.Target)
	resp, err := f.client.Get(f.url + "/x")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	r := bufio.NewReader(resp.Body)
	for i := range 3 {
		l, err := r.ReadBytes('\n')
		if err != nil || !bytes.Equal(l, fmt.Appendf(nil, "part %d\n", i)) {
			t.Fatalf("%q %v", l, err)
		}
		next <- true
	}
}
