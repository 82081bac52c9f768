package dispatcher

import (
	"math"
	"time"
)

// decaying is a sum in which a value loses weight with the time constant recentTime.
type decaying struct {
	sum     float64
	updated time.Time
}

func (s *decaying) at(now time.Time) float64 {
	age := max(0, now.Sub(s.updated))
	return s.sum * math.Exp(-age.Seconds()/recentTime.Seconds())
}

func (s *decaying) add(now time.Time, value float64) {
	s.sum = s.at(now) + value
	s.updated = now
}
