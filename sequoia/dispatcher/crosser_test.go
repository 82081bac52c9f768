package dispatcher

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a stampede into a region whose pressure is known late, and against crossing for a small gain.
func TestFirstRequestsCross(t *testing.T) {
	now := time.Unix(1000, 0)
	assert.Equal(t, (&Spillover{}).Fraction(now, 0.9, 0.8), 0.0)
	assert.Equal(t, (&Spillover{}).Fraction(now, 0.4, 0), 0.0)
	assert.Assert(t, (&Spillover{}).Fraction(now, 1.0, 0.2) >= 0.3)
	assert.Assert(t, (&Spillover{}).Fraction(now, 1.0, 0.2) < 0.5)
	assert.Assert(t, (&Spillover{}).Fraction(now, 1e6, 0) <= 0.5)
}

// Guards against a region at its peak that keeps most of its surplus while others are idle: 0.28 of the long reads
// crossed when half of them should have. The pressure elsewhere is known a second late, and answers last two seconds.
func TestCrossingEvensOutAPeak(t *testing.T) {
	const (
		step   = 50 * time.Millisecond
		late   = 20
		lasts  = 2.0
		settle = 8 * time.Second
		span   = 20 * time.Second
		// requests is the number of requests in a step.
		requests = 100
	)
	now := time.Unix(1000, 0)
	began := now
	c := &Spillover{}
	here, there := 0.2, 0.2
	told := make([]float64, late)
	var worst float64
	for number := 0; now.Sub(began) < span; number++ {
		part := c.Fraction(now, here, told[number%late])
		told[number%late] = there
		offered, elsewhere := 2.0, 0.2
		here += (offered*(1-part) - here) / lasts * step.Seconds()
		there += (elsewhere + offered*part - there) / lasts * step.Seconds()
		for request := range requests {
			c.Record(now, float64(request) < part*requests)
		}
		now = now.Add(step)
		if now.Sub(began) > settle {
			worst = max(worst, math.Abs(here-there-crossGain))
		}
	}
	assert.Assert(t, worst < crossGain, "the pressures differ by %.2f more than they should", worst)
}
