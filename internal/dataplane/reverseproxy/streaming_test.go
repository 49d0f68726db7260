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

// TestTruncatedResponseNeverLooksComplete checks that a truncated response is replaced by an error if it was buffered,
// and that the caller's connection is closed if it was streamed.
func TestTruncatedResponseNeverLooksComplete(t *testing.T) {
	for _, response := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"} {
		proxy := newTestProxy(t, newBackend(t, "a", respondAndClose(response)).Target)
		resp, err := proxy.client.Get(proxy.url + "/x")
		if err == nil {
			var b []byte
			b, err = io.ReadAll(resp.Body)
			resp.Body.Close()
			if err == nil && (resp.StatusCode != 502 || resp.Header.Get(RanHeader) != "unknown" || bytes.Contains(b, []byte("half"))) {
				t.Fatalf("the caller got %q as a complete response, want an error with status 502 that says \"unknown\", or a closed connection", b)
			}
		}
	}
}

// TestChunksAreStreamed checks that each chunk of a response is passed on before the next one has arrived.
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
			t.Fatalf("read %q, error %v, want part %d", line, err, i)
		}
		next <- true
	}
}

// TestResponsesWithoutBody checks that Content-Length of responses without a body is passed on unaltered, that buffered
// chunked responses get a length or keep their trailer, and that the target's connection is reused after each of them.
func TestResponsesWithoutBody(t *testing.T) {
	for _, tc := range []struct {
		method, response string
		status           int
		length           string
		trailer          string
		body             string
	}{
		{"HEAD", "HTTP/1.1 200 OK\r\nA: 1\r\nP: 1\r\nContent-Length: 77\r\n\r\n", 200, "77", "", ""},
		{"GET", "HTTP/1.1 304 N\r\nA: 1\r\nP: 1\r\nEtag: x\r\n\r\n", 304, "", "", ""},
		{"GET", "HTTP/1.1 204 N\r\nA: 1\r\nP: 1\r\n\r\n", 204, "", "", ""},
		{"GET", "HTTP/1.1 200 OK\r\nA: 1\r\nP: 1\r\nContent-Length: 0\r\n\r\n", 200, "0", "", ""},
		{"GET", "HTTP/1.1 200 OK\r\nA: 1\r\nP: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 200, "3", "", "abc"},
		{"GET", "HTTP/1.1 200 OK\r\nA: 1\r\nP: 1\r\nTrailer: T\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT: v\r\n\r\n", 200, "", "v", "abc"},
	} {
		a := newRawBackend(t, "a", func(int, int, *http.Request) (string, bool) { return tc.response, true })
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
				t.Fatalf("target's response %q: the caller got error %v, status %d, header %v, trailer %v, body %q, want %+v", tc.response, err, resp.StatusCode, resp.Header, resp.Trailer, body, tc)
			}
		}
		if a.conns.Load() != 1 {
			t.Errorf("target's response %q: %d connections were opened, want 1", tc.response, a.conns.Load())
		}
	}
}

// TestLargeResponses checks that large responses are passed on completely without a retry, and that the caller of a
// truncated one sees an error, since its connection is closed.
func TestLargeResponses(t *testing.T) {
	big := strings.Repeat("z", tuning.ResponseBufferMax+1)
	for _, truncated := range []bool{false, true} {
		for _, chunked := range []bool{false, true} {
			a := newRawBackend(t, "a", func(_, _ int, _ *http.Request) (string, bool) {
				s := "HTTP/1.1 200 OK\r\nA: 1\r\nP: 1\r\n"
				if chunked {
					s += fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(big), big)
				} else {
					s += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(big), big)
				}
				if truncated {
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
			if truncated != (err != nil) || !truncated && string(body) != big || a.runs.Load() != 1 {
				t.Fatalf("truncated %v, chunked %v: the caller got error %v, body of %d bytes; %d requests at the target; want an error if truncated, else the whole body, and 1 request", truncated, chunked, err, len(body), a.runs.Load())
			}
		}
	}
}

// FuzzResponse checks that whatever bytes a target sends, the caller gets a successful response only if the bytes are a
// valid response with the same status and body.
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
	var response atomic.Pointer[string]
	a := newRawBackend(f, "a", func(int, int, *http.Request) (string, bool) { return *response.Load(), false })
	proxy := newTestProxy(f, a.Target).withHealthCheck(config.KindOnce)
	proxy.forwarder.Headers.Proof = ""
	proxy.client.Transport = &http.Transport{DisableCompression: true}
	f.Fuzz(func(t *testing.T, b []byte) {
		s := string(b)
		response.Store(&s)
		proxy.asked = proxy.asked[:0]
		req, _ := http.NewRequest("GET", proxy.url+"/x", nil)
		req.Header.Set("A", "1")
		resp, err := proxy.client.Do(req)
		for len(proxy.notified) > 0 {
			<-proxy.notified
		}
		for len(a.requests) > 0 { // empty if the proxy could not connect because the machine ran out of ports
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
				t.Fatalf("the caller got a success although the target sent %q: %v", s, err)
			}
			if want.StatusCode < 200 {
				continue
			}
			body, err := io.ReadAll(want.Body)
			if err != nil || want.StatusCode != resp.StatusCode || want.Header.Get("A") != "1" || !bytes.Equal(body, got) {
				t.Fatalf("the target sent %q, the caller got status %d, body %q, want the same status and body; error in the target's body: %v", s, resp.StatusCode, got, err)
			}
			return
		}
	})
}
