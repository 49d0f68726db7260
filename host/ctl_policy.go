// This file is the operators' commands that compare and stream policies.

package host

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"myrtlefold/limit"
	"myrtlefold/model"
	"myrtlefold/policy"
)

// compare prints each policy's score; policies are files named for the policy.
func (c *ctl) compare(events string, files []string) int {
	ps := map[string]model.Policy{model.DefaultPolicy: model.Default()}
	for _, f := range files {
		b, err := os.ReadFile(f)
		p := model.Policy{Mode: "live"}
		var faults []model.Fault
		if err == nil {
			faults, err = model.Decode(b, &p)
		}
		if err != nil {
			fmt.Fprintf(os.Stderr, "mfctl: %s: %v\n", f, err)
			return exitInvalid
		}
		for _, x := range append(faults, policy.Check(p)...) {
			fmt.Fprintf(os.Stderr, "mfctl: %s: %s: %s\n", f, x.Path, x.Text)
			err = errBadPolicy
		}
		if err != nil {
			return exitInvalid
		}
		ps[strings.TrimSuffix(filepath.Base(f), ".json")] = p
	}
	in := io.Reader(os.Stdin)
	if events != "-" {
		f, err := os.Open(events)
		if err != nil {
			fmt.Fprintf(os.Stderr, "mfctl: %v\n", err)
			return exitUsage
		}
		defer f.Close()
		in = f
	}
	var l []policy.Event
	if err := policy.ReadEvents(in, func(e policy.Event) error { l = append(l, e); return nil }); err != nil {
		fmt.Fprintf(os.Stderr, "mfctl: %v\n", err)
		return exitInvalid
	}
	scores := policy.Compare(l, ps)
	if c.json {
		json.NewEncoder(os.Stdout).Encode(scores)
		return exitOK
	}
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "POLICY\tBARS\tWRONG\tERRORS\tMISSED\tSLOW\tMISSED SLOW\tTO BAR MS\tBARRED MS\tMOVES\tFAILED")
	for _, s := range scores {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%d\t%d\n", s.Policy, s.Bars, s.Wrong, s.Errors, s.Missed, s.Slow, s.MissedSlow, s.ToBarMs, s.BarredMs, s.Moves, s.Failed)
	}
	tw.Flush()
	return exitOK
}

func judgeLines(config string) int {
	cfg := &model.Config{}
	if config != "" {
		b, err := os.ReadFile(config)
		var faults []model.Fault
		if err == nil {
			cfg, faults, err = policy.CheckConfig(b)
		}
		if err != nil || len(faults) > 0 {
			fmt.Fprintf(os.Stderr, "mfctl: %s: %v %v\n", config, err, faults)
			return exitInvalid
		}
	}
	d := policy.NewSession(cfg)
	enc := json.NewEncoder(os.Stdout)
	code := exitOK
	sc := bufio.NewScanner(os.Stdin)
	sc.Buffer(nil, limit.LineMax)
	for sc.Scan() {
		for _, l := range d.Take(sc.Bytes()) {
			if l.Error != "" {
				code = exitInvalid // said at the end; the stream goes on
			}
			if enc.Encode(l) != nil {
				return exitFailed
			}
		}
	}
	if err := sc.Err(); err != nil {
		fmt.Fprintf(os.Stderr, "mfctl: line %d: %v\n", d.Line+1, err)
		return exitInvalid
	}
	return code
}

func (c *ctl) stream(from string, d time.Duration) int {
	ctx := context.Background()
	if d > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d)
		defer cancel()
	}
	q := ""
	if from != "" {
		q = "?from=" + url.QueryEscape(from)
	}
	for _, a := range c.at {
		req, err := http.NewRequestWithContext(ctx, "GET", "http://"+a+"/v1/stream"+q, nil)
		if err != nil {
			return exitUsage
		}
		resp, err := (&http.Client{}).Do(req)
		if err != nil || resp.StatusCode != 200 {
			if err == nil {
				resp.Body.Close()
			}
			continue
		}
		_, err = io.Copy(os.Stdout, resp.Body)
		resp.Body.Close()
		if ctx.Err() != nil {
			return exitOK
		}
		fmt.Fprintf(os.Stderr, "mfctl: the stream ended: %v\n", err)
		return exitFailed
	}
	fmt.Fprintln(os.Stderr, "mfctl: no member serves the stream")
	return exitNoLeader
}
