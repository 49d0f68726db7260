// This file is the operator's side of a fleet: mfctl, the configuration and who leads.

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

// readConfig reads the configuration from a file or (without a name) the deployment's sample.
func (f *fleet) readConfig(file string) error {
	if file == "" {
		file = strings.Replace(f.name, "small", "kelani", 1)
		if f.routes {
			file += "-routes"
		}
		file = filepath.Join("sample", file+".json")
	}
	doc, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if f.config, err = config.WithoutRevision(doc); err != nil { // it is put again and again
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}

// controlAddresses is the members' addresses for mfctl.
func (f *fleet) controlAddresses() string {
	var a []string
	for _, c := range f.controls {
		a = append(a, c.http)
	}
	return strings.Join(a, ",")
}

// ctl runs the operators' command as an operator would.
func (f *fleet) ctl(in []byte, args ...string) (string, int) {
	c := exec.Command(filepath.Join(f.bin, "mfctl"), args...)
	c.Env = append(os.Environ(), "MFCTL_AT="+f.controlAddresses())
	c.Stdin = bytes.NewReader(in)
	out, _ := c.CombinedOutput()
	return string(out), c.ProcessState.ExitCode()
}

// configure puts the configuration in force.
func (f *fleet) configure(within time.Duration) error {
	end := time.Now().Add(within)
	for {
		out, code := f.putConfig(f.config, max(0, f.revision()), "--wait", "3s")
		if code == 0 {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("no configuration in %v: %s", within, out)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// leader is the member that leads now, nil: none does.
func (f *fleet) leader() *process {
	for _, c := range f.controls {
		if c.stopped || c.frozen {
			continue
		}
		_, b := get("http://" + c.http + "/v1/status")
		var v struct{ Lead string }
		if json.Unmarshal(b, &v) == nil && v.Lead == "deciding" {
			return c
		}
	}
	return nil
}

// put puts the configuration once more by the API itself.
func (f *fleet) put(base int) (int, error) {
	req, _ := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/v1/config?base=%d", f.leader().http, base), bytes.NewReader(f.config))
	resp, err := (&http.Client{Timeout: 10 * time.Second}).Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}
