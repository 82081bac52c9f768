package dispatcher

import "time"

const (
	// crossAbove is the pressure here above which requests may cross to another region.
	crossAbove = 0.45
	// crossGain is how much less the pressure there must be: crossing costs two long delays and a price.
	crossGain = 0.2
	// crossMost is the largest part of the requests that cross, since pressure elsewhere is known late.
	crossMost = 0.8
)

// Crosser decides which part of the requests for one service crosses to another region. The pressure here already lacks
// what crosses, so the part that crossed lately is where it starts from: without it, half of the surplus would stay.
type Spillover struct {
	crossed decaying
	all     decaying
}

// Part is the part of the requests that should cross so that both regions end up equally pressed.
func (c *Spillover) Fraction(now time.Time, here, there float64) float64 {
	if here < crossAbove {
		return 0
	}
	lately := c.share(now)
	surplus := 1 - (there+crossGain)/here
	return min(crossMost, max(0, lately+(1-lately)/2*surplus))
}

// Note takes in whether a request crossed.
func (c *Spillover) Record(now time.Time, crossed bool) {
	c.all.add(now, 1)
	if crossed {
		c.crossed.add(now, 1)
	}
}

func (c *Spillover) share(now time.Time) float64 {
	all := c.all.at(now)
	if all < 1 {
		return 0
	}
	return c.crossed.at(now) / all
}
