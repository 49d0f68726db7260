// Package requestlog is the log that a test back end keeps of the requests that it ran, one JSON line each, and that
// checks read afterwards: what ran twice, though it was rejected, or at the wrong target. It judges nothing itself.
//
// Begin with Entry; Writer is the back end's side, ReadAll the checks'.
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

// Pattern matches the files of request logs in their folder.
const Pattern = "*.ledger"

// queueLength is how many entries may wait to be written: a disk that is slow for a moment delays no request.
const queueLength = 4096

// Entry is one request that a back end ran.
type Entry struct {
	StartedAt        int64            `json:"at_ns"` // when it began, in ns since 1970
	ID               string           `json:"id"`    // the caller's
	Service          string           `json:"service"`
	Name             string           `json:"name"` // the back end's
	Incarnation      uint64           `json:"incarnation"`
	Domain           string           `json:"domain"`
	Method           string           `json:"method"`
	IntendedService  string           `json:"meant_for,omitempty"` // which one the caller meant, if it is another
	State            wire.TargetState `json:"state"`               // the back end's
	LeavingForMs     int64            `json:"leaving_for_ms,omitempty"`
	RequestsInFlight int64            `json:"in_work"` // with this one
	WarmingUp        bool             `json:"cold,omitempty"`
}

// Writer writes entries on a goroutine of its own.
type Writer struct {
	entries chan Entry
	written chan struct{} // closed when all entries are
	output  io.WriteCloser
}

// Create opens a file to append to and returns its writer; without a name the entries go nowhere.
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

// discard is the output of a log without a file.
type discard struct{ io.Writer }

// Close does nothing.
func (discard) Close() error { return nil }

func (w *Writer) run() {
	defer close(w.written)
	for entry := range w.entries {
		line, _ := json.Marshal(entry) // an Entry has nothing that JSON can't hold
		w.output.Write(append(line, '\n'))
	}
}

// Write queues an entry; it waits while the queue is full.
func (w *Writer) Write(entry Entry) { w.entries <- entry }

// Close waits until all entries are written and closes the file. No Write may follow.
func (w *Writer) Close() error {
	close(w.entries)
	<-w.written
	return w.output.Close()
}

// ReadAll passes the entries of all request logs in a folder to visit, each file's in its order. A line that is no
// entry is left out: a back end that was killed leaves a part of one.
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
		return errors.Wrap(err, "request log")
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var entry Entry
		if json.Unmarshal(lines.Bytes(), &entry) == nil {
			visit(entry)
		}
	}
	return errors.Wrapf(lines.Err(), "request log %s", name)
}
