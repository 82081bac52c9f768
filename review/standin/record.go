package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to the record file, with the time since the start in seconds.
type recorder struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: file}, nil
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{r.at(time.Now())}, args...)...)
}

// at returns a time as seconds since the start of the record.
func (r *recorder) at(t time.Time) float64 {
	return t.Sub(r.start).Seconds()
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}
