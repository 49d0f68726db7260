// Package requestlog implements the log in which a test back end records the requests that it ran, as one JSON object
// per line. Verification tools read it after a run to find requests that ran twice, although they were rejected, or at
// the wrong target. The package itself checks nothing.
//
// Start with Entry; back ends use Writer, verification tools ReadAll.
package requestlog

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"myrtlefold/internal/shared/wire"
)

// Pattern is the glob pattern of request log files.
const Pattern = "*.ledger"

// queueLength is the number of entries that can wait to be written, so that a briefly slow disk does not delay requests.
const queueLength = 4096

// Entry describes a request that a back end ran.
type Entry struct {
	StartedAt        int64            `json:"at_ns"`                    // start of the request, in ns since 1970
	ID               string           `json:"id"`                       // request id chosen by the caller
	Service          string           `json:"service"`                  // service of the back end
	Name             string           `json:"name"`                     // name of the back end
	Incarnation      uint64           `json:"incarnation"`              // incarnation of the back end
	Domain           string           `json:"domain"`                   // failure domain of the back end
	Method           string           `json:"method"`                   // HTTP method
	IntendedService  string           `json:"meant_for,omitempty"`      // service that the caller intended, if it is another one; "": the same
	State            wire.TargetState `json:"state"`                    // state of the back end
	LeavingForMs     int64            `json:"leaving_for_ms,omitempty"` // time since the back end began to leave, in ms; 0: it is not leaving
	RequestsInFlight int64            `json:"in_work"`                  // number of requests in flight, including this one
	WarmingUp        bool             `json:"cold,omitempty"`           // the back end is limited to its service's warm-up rate
}

// Writer writes entries to a file in a separate goroutine.
type Writer struct {
	entries chan Entry
	written chan struct{} // closed when all entries are written
	output  io.WriteCloser
}

// Create opens a file for appending and returns its writer. With an empty name, entries are discarded.
func Create(name string) (*Writer, error) {
	var output io.WriteCloser = discard{io.Discard}
	if name != "" {
		file, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, err
		}
		output = file
	}
	w := &Writer{entries: make(chan Entry, queueLength), written: make(chan struct{}), output: output}
	go w.run()
	return w, nil
}

// discard is the output of a writer without a file.
type discard struct{ io.Writer }

// Close does nothing.
func (discard) Close() error { return nil }

func (w *Writer) run() {
	defer close(w.written)
	for entry := range w.entries {
		line, _ := json.Marshal(entry) // marshalling an Entry cannot fail
		w.output.Write(append(line, '\n'))
	}
}

// Write queues an entry. It blocks while the queue is full.
func (w *Writer) Write(entry Entry) { w.entries <- entry }

// Close waits until all entries are written and closes the file. Write must not be called afterwards.
func (w *Writer) Close() error {
	close(w.entries)
	<-w.written
	return w.output.Close()
}

// ReadAll calls visit for the entries of all request logs in a directory, in the order of each file. It skips lines that
// cannot be parsed, since a killed back end can leave a partial line.
func ReadAll(dir string, visit func(Entry)) error {
	names, err := filepath.Glob(filepath.Join(dir, Pattern))
	if err != nil {
		return err
	}
	var failures error
	for _, name := range names {
		failures = errors.CombineErrors(failures, readFile(name, visit))
	}
	return failures
}

func readFile(name string, visit func(Entry)) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "open request log")
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var entry Entry
		if json.Unmarshal(lines.Bytes(), &entry) == nil {
			visit(entry)
		}
	}
	return errors.Wrapf(lines.Err(), "read request log %s", name)
}
