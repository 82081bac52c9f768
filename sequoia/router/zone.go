package router

import (
	"math"
	"slices"
	"time"
)

func (r *Router) zoneReported(now time.Time, m ZoneReport) {
	z, ok := r.zones[m.Zone]
	if !ok {
		z = &zone{}
		r.zones[m.Zone] = z
		r.zoneOrder = append(r.zoneOrder, m.Zone)
		r.zoneNumber(m.Zone)
	}
	if ok && !m.At.After(z.report.At) {
		return
	}
	if z.lost {
		z.returned = now
		z.credit = 0
	}
	z.report = m
	z.fresh = true
	z.lost = false
	z.forwarded = 0
}

func (r *Router) zoneLost(m ZoneUnreachable) {
	if z, ok := r.zones[m.Zone]; ok {
		z.fresh = false
		z.lost = true
	}
}

// remote is the best place outside this availability zone.
type remote struct {
	zone *zone
	name string
	time time.Duration
	load ZoneLoad
}

// bestRemote finds the availability zone with the shortest expected time, price of crossing included.
func (r *Router) bestRemote(now time.Time, q *Request) remote {
	best := remote{time: math.MaxInt64}
	if len(q.Hops) >= MaxHops {
		return best
	}
	for _, name := range r.zoneOrder {
		z := r.zones[name]
		if !z.fresh || now.Sub(z.report.At) > ZoneTimeout || !r.mayForward(q, name) {
			continue
		}
		load, ok := z.model(q.Model)
		if !ok {
			continue
		}
		t := r.remoteTime(q, z, load)
		if t < best.time {
			best = remote{zone: z, name: name, time: t, load: load}
		}
	}
	return best
}

func (r *Router) mayForward(q *Request, name string) bool {
	if name == r.config.Zone || !slices.Contains(q.AllowedZones, name) {
		return false
	}
	return !slices.ContainsFunc(q.Hops, func(h Hop) bool { return h.Zone == name })
}

func (z *zone) model(name string) (ZoneLoad, bool) {
	for _, load := range z.report.Models {
		if load.Model == name && load.Capacity > 0 {
			return load, true
		}
	}
	return ZoneLoad{}, false
}

// remoteTime is the expected time to first token elsewhere: the delay both ways, loss, transfer over the shared
// link, the wait for admission, and the whole prompt because the cache there is cold for this prefix.
func (r *Router) remoteTime(q *Request, z *zone, load ZoneLoad) time.Duration {
	delay := z.report.Delay
	if delay == 0 {
		delay = r.config.delayTo(z.report.Region)
	}
	loss := time.Duration(z.report.Loss * float64(lossPenalty))
	prefill := r.load.IdleFirstToken(q.PromptTokens)
	return 2*(delay+loss) + r.transfer(q, z) + r.remoteWait(q, z, load) + prefill
}

func (r *Router) transfer(q *Request, z *zone) time.Duration {
	if z.report.Region == r.config.Region {
		return 0
	}
	return r.link.transfer(q.bytes(), r.config)
}

// remoteWait is the stated wait, and the wait that the own forwards since then cause, counted once for each VM.
func (r *Router) remoteWait(q *Request, z *zone, load ZoneLoad) time.Duration {
	var wait time.Duration
	if q.Rank < len(load.Waits) {
		wait = load.Waits[q.Rank]
	}
	since := float64(z.forwarded * max(r.config.Estimator.Senders, 1))
	over := load.Outstanding + since - float64(load.Capacity)
	if over <= 0 {
		return wait
	}
	slot := r.load.SlotTime(q.class()) / time.Duration(load.Capacity)
	return wait + time.Duration(over*float64(slot))
}

func (c Config) delayTo(region string) time.Duration {
	if region == c.Region {
		return c.Network.ZoneDelay.Duration
	}
	return c.Network.RegionDelay.Duration
}

func (q *Request) bytes() int {
	if q.PromptBytes > 0 {
		return q.PromptBytes
	}
	return q.PromptTokens * bytesPerToken
}

// crosses decides whether to cross: the time here must be a good part of the target, and the other place must win
// by a margin; both bounds are lower while requests of this kind cross already.
func (r *Router) crosses(now time.Time, q *Request, local time.Duration, best remote) bool {
	if best.zone == nil {
		return false
	}
	key := crossingKey{zone: best.name, model: q.Model, rank: q.Rank}
	margin, part, relative := ForwardStartMargin, ForwardStartTargetRatio, ForwardStartMarginRatio
	if r.crossing[key] {
		margin, part, relative = ForwardKeepMargin, ForwardKeepTargetRatio, ForwardKeepMarginRatio
	}
	margin = max(margin, time.Duration(relative*float64(local)))
	late := local > time.Duration(part*float64(r.config.target(q.Rank)))
	wins := late && best.time+margin < local
	r.crossing[key] = wins
	return wins && best.zone.take(now)
}

// take uses the share of traffic that a returning availability zone may receive.
func (z *zone) take(now time.Time) bool {
	z.credit = min(z.credit+share(now, z.returned), 1)
	if z.credit < 1 {
		return false
	}
	z.credit--
	return true
}
