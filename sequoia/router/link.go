package router

import "time"

const (
	linkWindow     = time.Second
	linkWeight     = 0.3  // weight of a new second in the smoothed rate
	maxUtilisation = 0.95 // keeps the expected transfer time finite on a full link
)

// linkMeter estimates the use of the link between regions from the own bytes.
type linkMeter struct {
	start time.Time
	bytes int
	rate  float64 // own bytes per second, smoothed
}

func (l *linkMeter) tick(now time.Time) {
	if l.start.IsZero() {
		l.start = now
	}
	elapsed := now.Sub(l.start)
	if elapsed < linkWindow {
		return
	}
	l.rate += (float64(l.bytes)/elapsed.Seconds() - l.rate) * linkWeight
	l.bytes = 0
	l.start = now
}

// transfer is the expected time to move bytes over the link, given that all VMs use it as this one does.
func (l *linkMeter) transfer(bytes int, c Config) time.Duration {
	rate := float64(c.Network.RegionLinkMbit) * 1e6 / 8
	if rate <= 0 {
		return 0
	}
	used := min(l.rate*float64(max(c.Estimator.Senders, 1))/rate, maxUtilisation)
	seconds := float64(bytes) / (rate * (1 - used))
	return time.Duration(seconds * float64(time.Second))
}
