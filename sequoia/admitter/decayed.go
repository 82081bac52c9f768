package admitter

import (
	"math"
	"time"
)

// decayingSum is a sum whose value decays exponentially.
type decayingSum struct {
	value        float64
	updatedAt    time.Time
	timeConstant time.Duration
}

func (d *decayingSum) add(now time.Time, value float64) {
	d.value = d.valueAt(now) + value
	d.updatedAt = now
}

func (d *decayingSum) valueAt(now time.Time) float64 {
	if d.updatedAt.IsZero() {
		return 0
	}
	return d.value * math.Exp(-now.Sub(d.updatedAt).Seconds()/d.timeConstant.Seconds())
}

// rate returns the decaying sum as a rate per second.
func (d *decayingSum) rate(now time.Time) float64 {
	return d.valueAt(now) / d.timeConstant.Seconds()
}
