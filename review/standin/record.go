package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a case: what was sent, answered and run, with times in seconds since the start of the case.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

// openRecord creates the file of the record.
func openRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// now returns the time since the start of the case.
func (r *record) now() time.Duration { return time.Since(r.start) }

// logf adds a line to the record.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f ", r.now().Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// announcef adds a line to the record and prints it.
func (r *record) announcef(format string, args ...any) {
	r.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// close writes what is buffered and closes the file.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
