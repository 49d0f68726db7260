// This file writes the answers that the proxy gives itself.

package reverseproxy

import (
	"net/http"
	"strconv"
	"time"

	"myrtlefold/internal/shared/config"
)

// RetryAfter is a Retry-RetryAfter header's value: seconds, with fractions below one.
func RetryAfter(d time.Duration) string {
	if d >= time.Second {
		return strconv.Itoa(int((d + time.Second - 1) / time.Second))
	}
	return strconv.FormatFloat(max(0.001, d.Seconds()), 'f', 3, 64)
}

// WriteError answers with the one error shape.
func WriteError(w http.ResponseWriter, status int, retry time.Duration, t config.ErrorBody) {
	writeError(w, RanHeader, status, retry, t)
}

func writeError(w http.ResponseWriter, ranHeader string, status int, retry time.Duration, t config.ErrorBody) {
	if t.Ran == "" {
		t.Ran = "no"
	}
	h := w.Header()
	if retry > 0 {
		h.Set("Retry-After", RetryAfter(retry))
	}
	h.Set(ranHeader, t.Ran)
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	b := t.JSON()
	h.Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	w.Write(b)
}
