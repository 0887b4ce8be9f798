package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run, in the order of the times.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}
