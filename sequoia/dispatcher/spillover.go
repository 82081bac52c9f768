package dispatcher

import "time"

const (
	// spilloverThreshold is the local pressure from which requests may spill over to another region.
	spilloverThreshold = 0.45
	// minPressureGain is how much lower the remote pressure must be: spillover costs two long-distance delays and
	// traffic charges.
	minPressureGain = 0.2
	// maxSpillover is the largest fraction of requests that spills over, since the pressure of other regions is known
	// with a delay.
	maxSpillover = 0.8
)

// Spillover decides which fraction of the requests for one service goes to another region. The local pressure already
// excludes the requests that spilled over, so the recent fraction is the starting point; without it, half of the
// surplus would stay.
type Spillover struct {
	spilled decayingSum
	total   decayingSum
}

// Fraction returns the fraction of requests that should spill over so that both regions end up with the same pressure.
// Nothing spills over to a region without a usable upstream, which would refuse it.
func (s *Spillover) Fraction(now time.Time, localPressure, remotePressure float64) float64 {
	if localPressure < spilloverThreshold || remotePressure >= UnavailablePressure {
		return 0
	}
	recentShare := s.recentShare(now)
	surplus := 1 - (remotePressure+minPressureGain)/localPressure
	return min(maxSpillover, max(0, recentShare+(1-recentShare)/2*surplus))
}

// Record counts one request and whether it spilled over.
func (s *Spillover) Record(now time.Time, spilled bool) {
	s.total.add(now, 1)
	if spilled {
		s.spilled.add(now, 1)
	}
}

func (s *Spillover) recentShare(now time.Time) float64 {
	total := s.total.valueAt(now)
	if total < 1 {
		return 0
	}
	return s.spilled.valueAt(now) / total
}
