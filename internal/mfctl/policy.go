// This file is the operators' commands that compare and stream policies.

package mfctl

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
	"time"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/outlier"
	"myrtlefold/internal/shared/tuning"
)

// compare prints each policy's score on a recording; policies are files named for the policy.
func (c *ctl) compare(recording string, files []string) int {
	policies := map[string]config.Policy{config.DefaultPolicyName: config.DefaultPolicy()}
	for _, f := range files {
		p, sound := readPolicy(f)
		if !sound {
			return exitInvalid
		}
		policies[strings.TrimSuffix(filepath.Base(f), ".json")] = p
	}
	in := io.Reader(os.Stdin)
	if recording != "-" {
		f, err := os.Open(recording)
		if err != nil {
			return failed(err, exitUsage)
		}
		defer f.Close()
		in = f
	}
	var events []outlier.Event
	if err := outlier.ReadEvents(in, func(e outlier.Event) error { events = append(events, e); return nil }); err != nil {
		return failed(err, exitInvalid)
	}
	scores := outlier.Compare(events, policies)
	if c.json {
		printJSON(scores)
		return exitOK
	}
	tw := newTable()
	fmt.Fprintln(tw, "POLICY\tBARS\tWRONG\tERRORS\tMISSED\tSLOW\tMISSED SLOW\tTO BAR MS\tBARRED MS\tMOVES\tFAILED")
	for _, s := range scores {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%d\t%d\n", s.Policy, s.Ejections, s.WrongEjections, s.Errors, s.MissedErrors, s.Slow, s.MissedSlow, s.TimeToEjectMs, s.EjectedMs, s.Transitions, s.FailedEvaluations)
	}
	tw.Flush()
	return exitOK
}

// readPolicy reads a policy's file and prints what is wrong with it.
func readPolicy(file string) (p config.Policy, sound bool) {
	p.Mode = config.ModeLive
	var faults []config.Fault
	b, err := os.ReadFile(file)
	if err == nil {
		faults, err = config.Decode(b, &p)
	}
	if err != nil {
		failed(errors.Wrap(err, file), exitInvalid)
		return p, false
	}
	faults = append(faults, outlier.Check(p)...)
	for _, f := range faults {
		fmt.Fprintf(os.Stderr, "mfctl: %s: %s: %s\n", file, f.Path, f.Text)
	}
	return p, len(faults) == 0
}

// judgeLines evaluates policies on standard input's events and prints each answer.
func judgeLines(file string) int {
	cfg := &config.Config{}
	if file != "" {
		b, err := os.ReadFile(file)
		var faults []config.Fault
		if err == nil {
			cfg, faults, err = outlier.ParseConfig(b)
		}
		if err != nil || len(faults) > 0 {
			fmt.Fprintf(os.Stderr, "mfctl: %s: %v %v\n", file, err, faults)
			return exitInvalid
		}
	}
	session := outlier.NewSession(cfg)
	enc := json.NewEncoder(os.Stdout)
	code := exitOK
	sc := bufio.NewScanner(os.Stdin)
	sc.Buffer(nil, tuning.SessionLineMax)
	for sc.Scan() {
		for _, l := range session.Evaluate(sc.Bytes()) {
			if l.Error != "" {
				code = exitInvalid // said at the end; the stream goes on
			}
			if enc.Encode(l) != nil {
				return exitFailed
			}
		}
	}
	if err := sc.Err(); err != nil {
		fmt.Fprintf(os.Stderr, "mfctl: line %d: %v\n", session.Lines+1, err)
		return exitInvalid
	}
	return code
}

// stream prints the stream of a member, for span or (0) until it ends.
func (c *ctl) stream(from string, span time.Duration) int {
	ctx := context.Background()
	if span > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, span)
		defer cancel()
	}
	q := ""
	if from != "" {
		q = "?from=" + url.QueryEscape(from)
	}
	for _, a := range c.at {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a+"/v1/stream"+q, nil)
		if err != nil {
			return exitUsage
		}
		resp, err := (&http.Client{}).Do(req)
		if err != nil || resp.StatusCode != http.StatusOK {
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
