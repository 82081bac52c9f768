package router

import "time"

const (
	linkSampleWindow   = time.Second
	linkRateWeight     = 0.3  // weight of a new sample in the moving average
	maxLinkUtilisation = 0.95 // keeps the expected transfer time finite on a saturated link
)

// linkMeter estimates the utilisation of the link between regions from the bytes that this process sends.
type linkMeter struct {
	windowStart    time.Time
	bytes          int
	bytesPerSecond float64 // moving average of the bytes sent by this process
}

func (l *linkMeter) tick(now time.Time) {
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	elapsed := now.Sub(l.windowStart)
	if elapsed < linkSampleWindow {
		return
	}
	l.bytesPerSecond += (float64(l.bytes)/elapsed.Seconds() - l.bytesPerSecond) * linkRateWeight
	l.bytes = 0
	l.windowStart = now
}

// transferTime returns the expected time to send bytes over the link, assuming that all VMs send at the same rate.
func (l *linkMeter) transferTime(bytes int, c Config) time.Duration {
	rate := float64(c.Network.RegionLinkMbit) * 1e6 / 8
	if rate <= 0 {
		return 0
	}
	used := min(l.bytesPerSecond*float64(max(c.Estimator.Senders, 1))/rate, maxLinkUtilisation)
	seconds := float64(bytes) / (rate * (1 - used))
	return time.Duration(seconds * float64(time.Second))
}
