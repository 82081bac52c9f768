package loader

import (
	"sync"
	"time"
)

// lineInterval is the shortest time between two log lines about the same key.
const lineInterval = time.Second

// LineLimiter limits the log lines about each key, and counts those that are left out. The zero value is ready for use.
type LineLimiter[K comparable] struct {
	mu   sync.Mutex
	keys map[K]lineCount
}

// lineCount holds the time of the last line about a key and the number of those left out since then.
type lineCount struct {
	loggedAt   time.Time
	suppressed int
}

// Allow reports whether a line about a key may be logged now, and how many were left out since the last one.
func (l *LineLimiter[K]) Allow(now time.Time, key K) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forgetOthers(now, key)
	count, known := l.keys[key]
	if known && now.Sub(count.loggedAt) < lineInterval {
		count.suppressed++
		l.keys[key] = count
		return 0, false
	}
	l.keys[key] = lineCount{loggedAt: now}
	return count.suppressed, true
}

// forgetOthers drops the other keys that have nothing to report. The lock must be held.
func (l *LineLimiter[K]) forgetOthers(now time.Time, key K) {
	if l.keys == nil {
		l.keys = map[K]lineCount{}
	}
	for each, count := range l.keys {
		if each != key && count.suppressed == 0 && now.Sub(count.loggedAt) >= lineInterval {
			delete(l.keys, each)
		}
	}
}
