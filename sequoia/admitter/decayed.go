package admitter

import (
	"math"
	"time"
)

// decayed is a sum in which past values fade exponentially.
type decayed struct {
	value  float64
	at     time.Time
	memory time.Duration
}

func (d *decayed) add(now time.Time, value float64) {
	d.value = d.read(now) + value
	d.at = now
}

func (d *decayed) read(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.value * math.Exp(-now.Sub(d.at).Seconds()/d.memory.Seconds())
}

// rate is the sum as an amount per second.
func (d *decayed) rate(now time.Time) float64 {
	return d.read(now) / d.memory.Seconds()
}
