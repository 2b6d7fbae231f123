// Package rig runs the project's controllers as separate processes against small stand-ins for the
// state service, the cloud and the workers, on loopback addresses and the real clock. The cases of
// the second review use it.
package rig

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record writes what happened to a file, a line each with the seconds since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

// NewRecord creates record.txt in a folder.
func NewRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// Add writes one line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_ = r.out.Flush()
}

// At returns a time as seconds since the start.
func (r *Record) At(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// Close closes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
