package forecaster

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const perUpstream = 1000.0

// simulatedDemand has a daily peak of several times the base demand, a level that varies by day, and noise.
func simulatedDemand(now time.Time, peakHour float64, random *rand.Rand) float64 {
	hour := now.Sub(now.Truncate(day)).Hours()
	distance := math.Abs(hour - peakHour)
	distance = math.Min(distance, 24-distance)
	level := 1 + 0.1*math.Sin(float64(now.YearDay()))
	return level * (2500 + 12000*math.Exp(-distance*distance/4)) * (1 + 0.05*(random.Float64()*2-1))
}

// Guards against capacity that arrives after the peak and against overprovisioning: the runner-hours of a day are
// compared with those of a planner with a perfect forecast.
func TestCostAgainstPerfectForecast(t *testing.T) {
	const (
		coldStart    = 90 * time.Second
		maxCostRatio = 1.15
	)
	for zone, peakHour := range map[string]float64{"cairo-a": 18, "alex-a": 12, "aswan-a": 21} {
		f := New(Config{})
		key := Key{Model: "m", Zone: zone}
		f.Step(epoch, Capacity{Key: key, PerUpstream: perUpstream, ColdStart: coldStart, MinUpstreams: 2})
		random := rand.New(rand.NewPCG(1, 2))
		ready, ordered := 0, 0
		var readyAt time.Time
		usedHours, perfectHours, shortMinutes, minutes := 0.0, 0.0, 0, 0
		for now := epoch; now.Before(epoch.Add(15 * day)); now = now.Add(time.Minute) {
			rate := simulatedDemand(now, peakHour, random)
			f.Step(now, Demand{Key: key, Rate: rate})
			for _, effect := range f.Tick(now) {
				ordered = effect.(DesiredReplicas).Count
				readyAt = now.Add(coldStart)
			}
			if ordered < ready || !now.Before(readyAt) {
				ready = ordered
			}
			if now.Before(epoch.Add(14 * day)) {
				continue
			}
			minutes++
			usedHours += float64(max(ready, ordered)) / 60
			perfectHours += math.Max(2, math.Ceil(rate/perUpstream)) / 60
			if float64(ready)*perUpstream < rate {
				shortMinutes++
			}
		}
		t.Logf("%s: runner-hours %.1f, with a perfect forecast %.1f, ratio %.3f, capacity short in %d of %d minutes", zone, usedHours, perfectHours, usedHours/perfectHours, shortMinutes, minutes)
		assert.Check(t, usedHours/perfectHours <= maxCostRatio)
		assert.Check(t, shortMinutes*100 <= minutes, "capacity was short in %d of %d minutes", shortMinutes, minutes)
	}
}

// Guards against unloading during a short dip, which costs a cold start at its end.
func TestNoFlapping(t *testing.T) {
	f := New(Config{})
	key := Key{Model: "m", Zone: "z"}
	f.Step(epoch, Capacity{Key: key, PerUpstream: perUpstream, ColdStart: time.Minute, MinUpstreams: 1})
	changes := 0
	for minute := range 240 {
		now := epoch.Add(time.Duration(minute) * time.Minute)
		rate := 8000.0
		if minute%20 >= 15 {
			rate = 2000
		}
		f.Step(now, Demand{Key: key, Rate: rate})
		changes += len(f.Tick(now))
	}
	assert.Assert(t, changes <= 4, "%d changes in 4 hours", changes)
}

// Guards against unloading a fleet at the first plan, when little demand has been observed.
func TestFirstDesiredCountKeepsLoadedUpstreams(t *testing.T) {
	f := New(Config{})
	key := Key{Model: "m", Zone: "z"}
	f.Step(epoch, Capacity{Key: key, PerUpstream: perUpstream, ColdStart: time.Minute, MinUpstreams: 2, LoadedUpstreams: 6})
	f.Step(epoch, Demand{Key: key, Rate: 10})
	assert.DeepEqual(t, f.Tick(epoch), []Effect{DesiredReplicas{Key: key, Count: 6}})
	assert.Equal(t, len(f.Tick(epoch.Add(firstDayScaleDownDelay/2))), 0)
	f.Tick(epoch.Add(firstDayScaleDownDelay / 2))
	assert.DeepEqual(t, f.Tick(epoch.Add(2*firstDayScaleDownDelay)), []Effect{DesiredReplicas{Key: key, Count: 2}})
}
