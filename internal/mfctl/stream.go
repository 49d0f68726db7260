package mfctl

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"
)

// followStream prints the stream of target events from the first member that serves it, for the given duration or, if
// that is 0, until the stream ends.
func (c *cli) followStream(from string, duration time.Duration) int {
	ctx := context.Background()
	if duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, duration)
		defer cancel()
	}
	query := ""
	if from != "" {
		query = "?from=" + url.QueryEscape(from)
	}
	for _, member := range c.members {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+member+"/v1/stream"+query, nil)
		if err != nil {
			return exitUsage
		}
		served, err := copyStream(request)
		switch {
		case !served:
			continue
		case ctx.Err() != nil:
			return exitOK
		}
		fmt.Fprintf(os.Stderr, "mfctl: the stream ended: %v\n", err)
		return exitFailed
	}
	fmt.Fprintln(os.Stderr, "mfctl: no member serves the stream")
	return exitNoLeader
}

// copyStream prints a stream until it ends. served is false if the member does not serve the stream.
func copyStream(request *http.Request) (served bool, err error) {
	got, err := (&http.Client{}).Do(request) // no timeout, unlike httpClient
	if err != nil {
		return false, err
	}
	defer got.Body.Close()
	if got.StatusCode != http.StatusOK {
		return false, nil
	}
	_, err = io.Copy(os.Stdout, got.Body)
	return true, err
}
