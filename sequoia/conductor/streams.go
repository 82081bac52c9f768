package conductor

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/pinner"
)

const (
	// publishInterval is how often the coordinators are told of streams that began: those of the last interval are not
	// known any more if all VMs stop at once.
	publishInterval = 200 * time.Millisecond
	// publishTimeout limits a call that tells a coordinator of streams.
	publishTimeout = time.Second
	// findTimeout covers three round trips between regions. A caller that takes up a stream waits that long at most.
	findTimeout = 350 * time.Millisecond
	// versionsRefresh is how often a coordinator is told versions that have not changed.
	versionsRefresh = 10 * time.Second
)

// versionsTold is what a coordinator was told of the versions in this region.
type versionsTold struct {
	versions map[string][]string
	text     string
	at       time.Time
}

// newVersions returns the versions in this region if a coordinator has to be told of them. The lock must be held.
func (s *coordinatorState) newVersions(now time.Time, versions map[string][]string) map[string][]string {
	text := versionsText(versions)
	if text == s.told.text && now.Sub(s.told.at) < versionsRefresh {
		return nil
	}
	s.told = versionsTold{versions: versions, text: text, at: now}
	return versions
}

// forgetTold makes the next heartbeat to a coordinator repeat the versions, which may not have arrived.
func (h *heartbeater) forgetTold(address netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stateOf(address).told = versionsTold{}
}

// versionsAsked is when a heartbeat was sent, and what the coordinator has been told of versions with it.
type versionsAsked struct {
	askedAt time.Time
	told    map[string][]string
}

// toldVersions returns what a coordinator has been told up to the last heartbeat.
func (h *heartbeater) toldVersions(address netip.AddrPort) map[string][]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stateOf(address).told.versions
}

// confirmVersions records what the reply of a coordinator says about versions: first those that it knows, and then what
// it confirms. A coordinator that does not know this VM may have forgotten what it was told, and is told anew.
func (h *heartbeater) confirmVersions(address netip.AddrPort, asked versionsAsked, reply fleetserver.HeartbeatReply) {
	h.config.Answerer.SeeVersions(reply.Versions)
	if reply.UnknownVM {
		h.forgetTold(address)
		return
	}
	h.confirmMu.Lock()
	h.confirmations.Record(address, pinner.Reply{
		AskedAt: asked.askedAt, ReceivedAt: time.Now(), Complete: reply.CompleteVersions, Told: asked.told, Pending: reply.PendingVersions,
	})
	h.confirmMu.Unlock()
	h.updateVersions()
}

// updateVersions passes on which versions may begin streams, and until when no other can have begun one.
func (h *heartbeater) updateVersions() {
	h.confirmMu.Lock()
	defer h.confirmMu.Unlock()
	h.confirmations.List(time.Now(), h.config.Answerer.Versions())
	members := h.members()
	established := h.confirmations.Established(members)
	h.logEstablished(established)
	h.config.Answerer.SetEstablishedVersions(established)
	h.config.Answerer.ConfirmVersions(h.confirmations.CompleteUntil(members))
}

// logEstablished logs the versions that may begin streams when they have changed. confirmMu must be held.
func (h *heartbeater) logEstablished(established map[string]map[string]time.Time) {
	versions := map[string][]string{}
	for service, each := range established {
		versions[service] = slices.Sorted(maps.Keys(each))
	}
	text := versionsText(versions)
	if text == h.establishedText {
		return
	}
	h.establishedText = text
	h.config.Logger.WithField("versions", versions).Info("versions that may begin streams have changed")
}

// members returns the coordinators of which a majority decides: those that recent replies name, or without one those of
// the settings.
func (h *heartbeater) members() []netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []netip.AddrPort
	for _, state := range h.coordinators {
		if time.Since(state.lastReply) <= replyMaxAge {
			list = append(list, state.fleet.Coordinators...)
		}
	}
	if len(list) == 0 {
		list = slices.Clone(h.config.Coordinators())
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return slices.Compact(list)
}

// versionsText returns a text that differs for different versions.
func versionsText(versions map[string][]string) string {
	var parts []string
	for service, list := range versions {
		parts = append(parts, service+"\x00"+strings.Join(list, "\x00"))
	}
	slices.Sort(parts)
	return strings.Join(parts, "\x01")
}

// publishStreams tells the coordinators of the streams that began, until the context is cancelled.
func (h *heartbeater) publishStreams(ctx context.Context) {
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if records := h.config.Answerer.TakeStreamRecords(); len(records) > 0 {
			h.publish(ctx, records)
		}
	}
}

// publish sends records to the coordinators that keep those of this region. If none takes them they are sent later.
func (h *heartbeater) publish(ctx context.Context, records []pinner.Record) {
	callCtx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	streams := fleetserver.NewStreams(records)
	taken := make(chan bool, 1)
	var group errgroup.Group
	for _, address := range h.streamKeepers() {
		group.Go(func() error {
			if err := h.client.AddStreams(callCtx, address, streams); err != nil {
				h.config.Logger.WithField("coordinator", address.String()).WithError(err).Debug("coordinator not told of streams")
				return nil
			}
			select {
			case taken <- true:
			default:
			}
			return nil
		})
	}
	// The functions of the group never return an error.
	_ = group.Wait()
	if len(taken) == 0 {
		h.config.Answerer.PutBackStreamRecords(records)
	}
}

// streamKeepers returns the coordinators that keep the streams of this region: its own, and one of another region in case
// these are lost.
func (h *heartbeater) streamKeepers() []netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	var own []netip.AddrPort
	var other netip.AddrPort
	var highest uint64
	for address, state := range h.coordinators {
		switch weight := xxhash.Sum64String(h.config.Self.Region + "/" + address.String()); {
		case time.Since(state.lastReply) > replyMaxAge:
		case state.sameRegion:
			own = append(own, address)
		case !other.IsValid() || weight > highest:
			other, highest = address, weight
		}
	}
	if other.IsValid() {
		own = append(own, other)
	}
	return own
}

// FindStream asks all coordinators which version began a stream. The only version of a service counts if a majority has
// seen no other: a version that began streams is known to a majority.
func (h *heartbeater) FindStream(ctx context.Context, service string, key pinner.Key) (string, bool) {
	callCtx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	addresses, needed := h.answeringCoordinators(), pinner.Majority(len(h.members()))
	replies := make(chan fleetserver.StreamVersion, len(addresses))
	for _, address := range addresses {
		go func() {
			reply, err := h.client.FindStream(callCtx, address, fleetserver.StreamQuery{Service: service, Key: key})
			if err != nil {
				h.config.Logger.WithField("coordinator", address.String()).WithError(err).Debug("coordinator did not say which version began a stream")
			}
			replies <- reply
		}()
	}
	var merged fleetserver.StreamVersion
	sole := 0
	for range addresses {
		reply := <-replies
		if reply.Sole {
			sole++
		}
		merged = mergeStreamVersions(merged, reply)
		if merged.Found {
			return merged.Version, true
		}
	}
	return merged.Version, sole >= needed && !merged.Mixed
}

// mergeStreamVersions merges the answers of two coordinators to the same question.
func mergeStreamVersions(a, b fleetserver.StreamVersion) fleetserver.StreamVersion {
	switch {
	case a.Found:
		return a
	case b.Found:
		return b
	}
	merged := a
	if !a.Sole {
		merged = b
	}
	merged.Mixed = a.Mixed || b.Mixed || a.Sole && b.Sole && a.Version != b.Version
	return merged
}

// answeringCoordinators returns the coordinators that replied lately.
func (h *heartbeater) answeringCoordinators() []netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []netip.AddrPort
	for address, state := range h.coordinators {
		if time.Since(state.lastReply) <= replyMaxAge {
			list = append(list, address)
		}
	}
	return list
}
