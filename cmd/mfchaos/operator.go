// This file runs operators' commands on a fleet: mfctl, configuration changes and the query for the leader.

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"myrtlefold/internal/shared/config"
)

// readConfig reads the configuration from a file, or the deployment's sample if the name is empty.
func (f *fleet) readConfig(file string) error {
	if file == "" {
		file = strings.Replace(f.deploymentName, "small", "kelani", 1)
		if f.routes {
			file += "-routes"
		}
		file = filepath.Join("sample", file+".json")
	}
	doc, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if f.config, err = config.WithoutRevision(doc); err != nil { // it is sent several times, each time based on another revision
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}

// controlHTTPAddresses returns the control daemons' HTTP addresses in the form that mfctl takes.
func (f *fleet) controlHTTPAddresses() string {
	var a []string
	for _, c := range f.controls {
		a = append(a, c.http)
	}
	return strings.Join(a, ",")
}

// runCtl runs mfctl with an input, and returns its output and exit code.
func (f *fleet) runCtl(input []byte, args ...string) (string, int) {
	c := exec.Command(filepath.Join(f.bin, "mfctl"), args...)
	c.Env = append(os.Environ(), "MFCTL_AT="+f.controlHTTPAddresses())
	c.Stdin = bytes.NewReader(input)
	out, _ := c.CombinedOutput()
	return string(out), c.ProcessState.ExitCode()
}

// putInitialConfig sends the configuration repeatedly until it is accepted or the timeout has expired.
func (f *fleet) putInitialConfig(within time.Duration) error {
	end := time.Now().Add(within)
	for {
		out, code := f.putConfig(f.config, max(0, f.revision()), "--wait", "3s")
		if code == 0 {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("configuration not accepted within %v: %s", within, out)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// leader returns the control daemon that reports itself as the leader, or nil if none does.
func (f *fleet) leader() *process {
	for _, c := range f.controls {
		if c.stopped || c.frozen {
			continue
		}
		_, b := httpGet("http://" + c.http + "/v1/status")
		var v struct{ Lead string }
		if json.Unmarshal(b, &v) == nil && v.Lead == "deciding" {
			return c
		}
	}
	return nil
}

// putOverHTTP sends the configuration, based on revision base, to the leader's HTTP API and returns the HTTP status.
func (f *fleet) putOverHTTP(base int) (int, error) {
	req, _ := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/v1/config?base=%d", f.leader().http, base), bytes.NewReader(f.config))
	resp, err := (&http.Client{Timeout: 10 * time.Second}).Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}
