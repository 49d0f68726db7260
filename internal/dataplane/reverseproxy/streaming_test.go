package reverseproxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
)

// TestTruncatedResponseNeverLooksComplete checks that a truncated response is replaced by an error if it was
// buffered, and closes the caller's connection if it streamed.
func TestTruncatedResponseNeverLooksComplete(t *testing.T) {
	for _, say := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"} {
		proxy := newTestProxy(t, newBackend(t, "a", respondAndClose(say)).Target)
		resp, err := proxy.client.Get(proxy.url + "/x")
		if err == nil {
			var b []byte
			b, err = io.ReadAll(resp.Body)
			resp.Body.Close()
			if err == nil && (resp.StatusCode != 502 || resp.Header.Get(RanHeader) != "unknown" || bytes.Contains(b, []byte("half"))) {
				t.Fatalf("read %q as a complete response", b)
			}
		}
	}
}

// TestChunksAreStreamed checks that the chunks of a response are passed on before the next one has come.
func TestChunksAreStreamed(t *testing.T) {
	next := make(chan bool)
	a := newBackend(t, "a", func(w http.ResponseWriter, _ *http.Request) {
		for i := range 3 {
			fmt.Fprintf(w, "part %d\n", i)
			w.(http.Flusher).Flush()
			<-next
		}
	})
	proxy := newTestProxy(t, a.Target)
	resp, err := proxy.client.Get(proxy.url + "/x")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	r := bufio.NewReader(resp.Body)
	for i := range 3 {
		line, err := r.ReadBytes('\n')
		if err != nil || !bytes.Equal(line, fmt.Appendf(nil, "part %d\n", i)) {
			t.Fatalf("%q %v", line, err)
		}
		next <- true
	}
}

// TestResponsesWithoutBody checks that responses without a body keep their length, and that trailers of buffered
// responses are passed on.
func TestResponsesWithoutBody(t *testing.T) {
	for _, tc := range []struct {
		method, say string
		status      int
		length      string
		trailer     string
		body        string
	}{
		{"HEAD", "HTTP/1.1 200 OK\r\nA: 1\r\nP: 1\r\nContent-Length: 77\r\n\r\n", 200, "77", "", ""},
		{"GET", "HTTP/1.1 304 N\r\nA: 1\r\nP: 1\r\nEtag: x\r\n\r\n", 304, "", "", ""},
		{"GET", "HTTP/1.1 204 N\r\nA: 1\r\nP: 1\r\n\r\n", 204, "", "", ""},
		{"GET", "HTTP/1.1 200 OK\r\nA: 1\r\nP: 1\r\nContent-Length: 0\r\n\r\n", 200, "0", "", ""},
		{"GET", "HTTP/1.1 200 OK\r\nA: 1\r\nP: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 200, "3", "", "abc"},
		{"GET", "HTTP/1.1 200 OK\r\nA: 1\r\nP: 1\r\nTrailer: T\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT: v\r\n\r\n", 200, "", "v", "abc"},
	} {
		a := newRawBackend(t, "a", func(int, int, *http.Request) (string, bool) { return tc.say, true })
		proxy := newTestProxy(t, a.Target).withHealthCheck(config.KindRepeatable)
		for range 2 {
			req, _ := http.NewRequest(tc.method, proxy.url+"/x", nil)
			req.Header.Set("A", "1")
			resp, err := proxy.client.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err != nil || resp.StatusCode != tc.status || resp.Header.Get("Content-Length") != tc.length || resp.Trailer.Get("T") != tc.trailer || string(body) != tc.body {
				t.Fatalf("%q: %v %d %v %v %q", tc.say, err, resp.StatusCode, resp.Header, resp.Trailer, body)
			}
		}
		if a.conns.Load() != 1 {
			t.Errorf("%q: %d connections", tc.say, a.conns.Load())
		}
	}
}

// TestLargeResponses checks that large responses stream, and that a truncated one closes its caller's connection.
func TestLargeResponses(t *testing.T) {
	big := strings.Repeat("z", tuning.ResponseBufferMax+1)
	for _, cut := range []bool{false, true} {
		for _, chunks := range []bool{false, true} {
			a := newRawBackend(t, "a", func(_, _ int, _ *http.Request) (string, bool) {
				s := "HTTP/1.1 200 OK\r\nA: 1\r\nP: 1\r\n"
				if chunks {
					s += fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(big), big)
				} else {
					s += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(big), big)
				}
				if cut {
					return s[:len(s)-5], false
				}
				return s, true
			})
			proxy := newTestProxy(t, a.Target, a.Target).withHealthCheck(config.KindDownload)
			req, _ := http.NewRequest("GET", proxy.url+"/x", nil)
			req.Header.Set("A", "1")
			resp, err := proxy.client.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if cut != (err != nil) || !cut && string(body) != big || a.runs.Load() != 1 {
				t.Fatal(cut, chunks, err, len(body), a.runs.Load())
			}
		}
	}
}

// FuzzResponse checks that whatever bytes come from a target, its caller gets a success only with the body that
// those bytes frame.
func FuzzResponse(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: 1\r\n\r\nfine",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nA: 1\r\n\r\nfi",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\nA: 1\r\n\r\nfines",
		"HTTP/1.1 200 OK\r\nA: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: 1\r\nTransfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\n4\r\nfine\r\n0\r\nT: 1\r\n\r\nmore",
		"HTTP/1.1 200 OK\r\nA: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n",
		"HTTP/1.0 200 OK\r\nA: 1\r\n\r\nuntil close",
		"HTTP/1.1 204 No\r\nA: 1\r\n\r\nsurplus",
		"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\nA: 1\r\n\r\n",
		"HTTP/1.1 000 X\r\nA: 1\r\n\r\n", "HTTP/2.0 200 OK\r\nA: 1\r\n\r\n", "HTTP/1.1 999 X\r\nA: 1\r\nContent-Length: 1\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nA: 1\r\nContent-Length: 1\r\nBad\x00Name: 1\r\nConnection: A\r\n\r\nx",
		"HTTP/1.1 200 OK\r\nA: 1\r\nContent-Length: 1\r\nBadConnection: A\r\n\r\n\n",
		"\x16\x03\x01", "", "HTTP/1.1 200", "HTTP/1.1 503 X\r\nA: 1\r\nN: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	var say atomic.Pointer[string]
	a := newRawBackend(f, "a", func(int, int, *http.Request) (string, bool) { return *say.Load(), false })
	proxy := newTestProxy(f, a.Target).withHealthCheck(config.KindOnce)
	proxy.forwarder.Headers.Proof = ""
	proxy.client.Transport = &http.Transport{DisableCompression: true}
	f.Fuzz(func(t *testing.T, b []byte) {
		s := string(b)
		say.Store(&s)
		proxy.asked = proxy.asked[:0]
		req, _ := http.NewRequest("GET", proxy.url+"/x", nil)
		req.Header.Set("A", "1")
		resp, err := proxy.client.Do(req)
		for len(proxy.notified) > 0 {
			<-proxy.notified
		}
		for len(a.requests) > 0 { // none if the machine has no port left, which is an error of the test
			<-a.requests
			<-a.bodies
		}
		if err != nil {
			return
		}
		got, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode >= 300 {
			return
		}
		reader := bufio.NewReader(strings.NewReader(s))
		for {
			want, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("a success from %q: %v", s, err)
			}
			if want.StatusCode < 200 {
				continue
			}
			body, err := io.ReadAll(want.Body)
			if err != nil || want.StatusCode != resp.StatusCode || want.Header.Get("A") != "1" || !bytes.Equal(body, got) {
				t.Fatalf("%q became %d %q: %v", s, resp.StatusCode, got, err)
			}
			return
		}
	})
}
