package router

import (
	"math"
	"slices"
	"time"
)

func (r *Router) applyZoneReport(now time.Time, m ZoneReport) {
	z, ok := r.zones[m.Zone]
	if !ok {
		z = &zoneState{}
		r.zones[m.Zone] = z
		r.zoneOrder = append(r.zoneOrder, m.Zone)
		r.zoneIndex(m.Zone)
	}
	if ok && !m.At.After(z.report.At) {
		return
	}
	if z.unreachable {
		z.rampStart = now
		z.forwardCredit = 0
	}
	z.report = m
	z.fresh = true
	z.unreachable = false
	z.forwardedSinceReport = 0
}

func (r *Router) markZoneUnreachable(m ZoneUnreachable) {
	if z, ok := r.zones[m.Zone]; ok {
		z.fresh = false
		z.unreachable = true
	}
}

// remoteCandidate is another availability zone under consideration.
type remoteCandidate struct {
	zone       *zoneState
	name       string
	firstToken time.Duration
	load       ZoneLoad
}

// bestRemote returns the availability zone with the lowest expected time to first token, network costs included.
func (r *Router) bestRemote(now time.Time, req *Request) remoteCandidate {
	best := remoteCandidate{firstToken: math.MaxInt64}
	if len(req.Hops) >= MaxHops {
		return best
	}
	for _, name := range r.zoneOrder {
		z := r.zones[name]
		if !z.fresh || now.Sub(z.report.At) > ZoneTimeout || !r.mayForward(req, name) {
			continue
		}
		load, ok := z.loadOf(req.Model)
		if !ok {
			continue
		}
		firstToken := r.remoteFirstToken(req, z, load)
		if firstToken < best.firstToken {
			best = remoteCandidate{zone: z, name: name, firstToken: firstToken, load: load}
		}
	}
	return best
}

func (r *Router) mayForward(req *Request, name string) bool {
	if name == r.config.Zone || !slices.Contains(req.AllowedZones, name) {
		return false
	}
	return !slices.ContainsFunc(req.Hops, func(h Hop) bool { return h.Zone == name })
}

func (z *zoneState) loadOf(model string) (ZoneLoad, bool) {
	for _, load := range z.report.Models {
		if load.Model == model && load.Capacity > 0 {
			return load, true
		}
	}
	return ZoneLoad{}, false
}

// remoteFirstToken returns the expected time to first token in another availability zone: the round trip, packet loss,
// the transfer over the shared link, the admission wait and the prefill of the whole prompt, because the prefix is not
// expected in caches there.
func (r *Router) remoteFirstToken(req *Request, z *zoneState, load ZoneLoad) time.Duration {
	delay := z.report.Delay
	if delay == 0 {
		delay = r.config.networkDelay(z.report.Region)
	}
	loss := time.Duration(z.report.Loss * float64(packetLossPenalty))
	prefill := r.estimator.IdleFirstToken(req.PromptTokens)
	return 2*(delay+loss) + r.transferTime(req, z) + r.remoteWait(req, z, load) + prefill
}

func (r *Router) transferTime(req *Request, z *zoneState) time.Duration {
	if z.report.Region == r.config.Region {
		return 0
	}
	return r.link.transferTime(req.size(), r.config)
}

// remoteWait returns the reported admission wait plus the wait caused by requests forwarded since the report, assuming
// that every VM forwards as many as this one.
func (r *Router) remoteWait(req *Request, z *zoneState, load ZoneLoad) time.Duration {
	var wait time.Duration
	if req.Rank < len(load.Waits) {
		wait = load.Waits[req.Rank]
	}
	forwarded := float64(z.forwardedSinceReport * max(r.config.Estimator.Senders, 1))
	excess := load.Outstanding + forwarded - float64(load.Capacity)
	if excess <= 0 {
		return wait
	}
	slotInterval := r.estimator.SlotTime(req.class()) / time.Duration(load.Capacity)
	return wait + time.Duration(excess*float64(slotInterval))
}

func (c Config) networkDelay(region string) time.Duration {
	if region == c.Region {
		return c.Network.ZoneDelay.Duration
	}
	return c.Network.RegionDelay.Duration
}

func (req *Request) size() int {
	if req.PromptBytes > 0 {
		return req.PromptBytes
	}
	return req.PromptTokens * bytesPerToken
}

// shouldForward reports whether to forward a request: the local time must exceed a fraction of the target, and the
// other zone must be faster by a margin. Both thresholds are lower while requests of this kind are already being
// forwarded.
func (r *Router) shouldForward(now time.Time, req *Request, local time.Duration, best remoteCandidate) bool {
	if best.zone == nil {
		return false
	}
	key := forwardingKey{zone: best.name, model: req.Model, rank: req.Rank}
	margin, targetRatio, marginRatio := ForwardStartMargin, ForwardStartTargetRatio, ForwardStartMarginRatio
	if r.forwarding[key] {
		margin, targetRatio, marginRatio = ForwardKeepMargin, ForwardKeepTargetRatio, ForwardKeepMarginRatio
	}
	margin = max(margin, time.Duration(marginRatio*float64(local)))
	late := local > time.Duration(targetRatio*float64(r.config.firstTokenTarget(req.Rank)))
	wins := late && best.firstToken+margin < local
	r.forwarding[key] = wins
	return wins && best.zone.takeForwardCredit(now)
}

// takeForwardCredit limits the requests forwarded to a recovering availability zone to its ramp-up share.
func (z *zoneState) takeForwardCredit(now time.Time) bool {
	z.forwardCredit = min(z.forwardCredit+rampShare(now, z.rampStart), 1)
	if z.forwardCredit < 1 {
		return false
	}
	z.forwardCredit--
	return true
}
