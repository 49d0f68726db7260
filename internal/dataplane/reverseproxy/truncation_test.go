package reverseproxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/tuning"
)

// TestTruncatedResponseIsResetForHTTP10 guards against a response that its target broke off and that its caller takes for
// complete. For a caller that speaks HTTP/1.0 and a response without a length, the end of the connection ends the response,
// so the connection has to be reset.
func TestTruncatedResponseIsResetForHTTP10(t *testing.T) {
	part := strings.Repeat("x", 2*tuning.ResponseBufferMax)
	for framing, header := range map[string]string{
		"length": fmt.Sprintf("Content-Length: %d", 2*len(part)),
		"chunks": "Transfer-Encoding: chunked",
	} {
		body := part
		if framing == "chunks" {
			body = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		for _, version := range []string{"1.0", "1.1"} {
			t.Run(framing+" "+version, func(t *testing.T) {
				a := newRawBackend(t, "a", respondOnce("HTTP/1.1 200 OK\r\nP: yes\r\n"+header+"\r\n\r\n"+body))
				proxy := newTestProxy(t, a.Target).withHealthCheck(config.KindRepeatable)
				caller := dialRaw(t, proxy.addr)
				fmt.Fprintf(caller, "GET / HTTP/%s\r\nHost: h\r\n\r\n", version)
				resp, err := http.ReadResponse(caller.reader, nil)
				if err != nil {
					return
				}
				if got, err := io.ReadAll(resp.Body); err == nil {
					t.Errorf("the caller read %d bytes without an error, the target sent %d and broke off", len(got), len(part))
				}
				waitFor(t, "the response is counted", func() bool { return proxy.forwarder.Counts.Truncated.Load() == 1 })
			})
		}
	}
}
