// The commands that change and check configurations.

package mfctl

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/outlier"
)

// standardInput is the file name that denotes standard input.
const standardInput = "-"

// readFile reads a file, or standard input.
func readFile(name string) ([]byte, error) {
	if name == standardInput || name == "" { // kingpin parses a lone dash as an empty argument
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// changeByFile sends a change whose body is read from a file.
func (c *cli) changeByFile(file string, r request) int {
	var err error
	if r.body, err = readFile(file); err != nil {
		return fail(err, exitUsage)
	}
	return c.change(r)
}

// putConfig sends a complete configuration. A revision other than 0 replaces the one in the document.
func (c *cli) putConfig(file string, revision uint64, query url.Values) int {
	document, err := readFile(file)
	if err != nil {
		return fail(err, exitUsage)
	}
	if revision > 0 {
		if document, err = config.WithoutRevision(document); err == nil {
			document, err = config.WithRevision(document, revision)
		}
		if err != nil {
			fmt.Fprintf(os.Stderr, "mfctl: %s: %v\n", file, err)
			return exitInvalid
		}
	}
	return c.change(request{http.MethodPut, "/v1/config", query, document})
}

// setItem sends a partial change that adds or replaces one item.
func (c *cli) setItem(kind, name, file string, revision uint64, query url.Values) int {
	item, err := readFile(file)
	if err != nil {
		return fail(err, exitUsage)
	}
	if !json.Valid(item) {
		fmt.Fprintf(os.Stderr, "mfctl: %s: not valid JSON\n", cmp.Or(file, "standard input"))
		return exitInvalid
	}
	set := map[string]map[string]json.RawMessage{kind: {name: item}}
	return c.sendNamedChange(config.NamedChange{Revision: revision, Set: set}, query)
}

// sendNamedChange sends a partial change of named items.
func (c *cli) sendNamedChange(change config.NamedChange, query url.Values) int {
	body, err := json.Marshal(change)
	if err != nil {
		return fail(err, exitUsage)
	}
	return c.change(request{http.MethodPatch, "/v1/config", query, body})
}

// checkedFile is the result of checking one file, printed as JSON.
type checkedFile struct {
	Faults []config.Fault `json:"faults"`
	File   string         `json:"file"`
	Valid  bool           `json:"sound"`
}

// checkConfig checks a configuration, and then the result of applying each change to the one before.
func (c *cli) checkConfig(file string, changes []string) int {
	var document []byte
	for i, name := range append([]string{file}, changes...) {
		text, err := readFile(name)
		if err != nil {
			return fail(err, exitUsage)
		}
		var faults []config.Fault
		if i == 0 {
			document = text
		} else {
			document, faults, err = applyChange(document, text)
		}
		if err == nil && len(faults) == 0 {
			_, faults, err = outlier.ParseConfig(document)
		}
		if err != nil {
			return fail(errors.Wrap(err, name), exitInvalid)
		}
		if c.json {
			printJSON(checkedFile{File: name, Valid: len(faults) == 0, Faults: faults})
		} else {
			printFaults(faults)
		}
		if len(faults) > 0 {
			return exitInvalid
		}
	}
	if !c.json {
		fmt.Println("the configuration is valid")
	}
	return exitOK
}

// applyChange applies a partial change, a merge patch or a named change, to a document.
func applyChange(document, change []byte) ([]byte, []config.Fault, error) {
	if !config.IsNamedChange(change) {
		changed, err := config.MergePatch(document, change)
		return changed, nil, err
	}
	named, faults, err := config.ParseNamedChange(change)
	if err != nil || len(faults) > 0 {
		return nil, faults, err
	}
	return named.Apply(document)
}
