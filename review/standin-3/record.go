//go:build review3

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the seconds since the begin of the case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecorder(folder string) (*recorder, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &recorder{file: file, begin: time.Now()}, err
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}
