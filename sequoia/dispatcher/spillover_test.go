package dispatcher

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against overloading a region whose pressure is known with a delay, and against spillover for a small gain.
func TestSpilloverFraction(t *testing.T) {
	now := time.Unix(1000, 0)
	assert.Equal(t, (&Spillover{}).Fraction(now, 0.9, 0.8), 0.0)
	assert.Equal(t, (&Spillover{}).Fraction(now, 0.4, 0), 0.0)
	assert.Assert(t, (&Spillover{}).Fraction(now, 1.0, 0.2) >= 0.3)
	assert.Assert(t, (&Spillover{}).Fraction(now, 1.0, 0.2) < 0.5)
	assert.Assert(t, (&Spillover{}).Fraction(now, 1e6, 0) <= 0.5)
}

// Guards against requests that go on spilling over to a region which has lost its upstreams, after this region has lost
// its own: they were refused there.
func TestNothingSpillsOverToAnUnavailableRegion(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &Spillover{}
	for range 100 {
		s.Record(now, true)
	}
	assert.Equal(t, s.Fraction(now, UnavailablePressure, UnavailablePressure), 0.0)
}

// Guards against a region at its peak that keeps most of its surplus while others are idle: 0.28 of the long requests
// spilled over when half of them should have. The remote pressure is known a second late, and answers last two seconds.
func TestSpilloverBalancesRegions(t *testing.T) {
	const (
		step          = 50 * time.Millisecond
		delaySteps    = 20
		answerSeconds = 2.0
		settle        = 8 * time.Second
		span          = 20 * time.Second
		// requests is the number of requests per step.
		requests = 100
	)
	now := time.Unix(1000, 0)
	began := now
	s := &Spillover{}
	localPressure, remotePressure := 0.2, 0.2
	delayed := make([]float64, delaySteps)
	var worst float64
	for number := 0; now.Sub(began) < span; number++ {
		fraction := s.Fraction(now, localPressure, delayed[number%delaySteps])
		delayed[number%delaySteps] = remotePressure
		localOffered, remoteOffered := 2.0, 0.2
		localPressure += (localOffered*(1-fraction) - localPressure) / answerSeconds * step.Seconds()
		remotePressure += (remoteOffered + localOffered*fraction - remotePressure) / answerSeconds * step.Seconds()
		for request := range requests {
			s.Record(now, float64(request) < fraction*requests)
		}
		now = now.Add(step)
		if now.Sub(began) > settle {
			worst = max(worst, math.Abs(localPressure-remotePressure-minPressureGain))
		}
	}
	assert.Assert(t, worst < minPressureGain, "the pressure difference deviates by %.2f from the target", worst)
}
