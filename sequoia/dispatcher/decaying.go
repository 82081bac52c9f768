package dispatcher

import (
	"math"
	"time"
)

// decayingSum is a sum of values whose weight decays exponentially with recentTimeConstant.
type decayingSum struct {
	sum     float64
	updated time.Time
}

func (s *decayingSum) valueAt(now time.Time) float64 {
	age := max(0, now.Sub(s.updated))
	return s.sum * math.Exp(-age.Seconds()/recentTimeConstant.Seconds())
}

func (s *decayingSum) add(now time.Time, value float64) {
	s.sum = s.valueAt(now) + value
	s.updated = now
}
