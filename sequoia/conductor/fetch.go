package conductor

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"sequoiaspread.example/sequoia/answerer"
	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/fleetserver"
)

const (
	// maxFetches limits the fetches in progress, because they share the link of this VM with the requests of callers.
	maxFetches = 2
	// secondFetchDelay is the time after which a second coordinator is asked, because the first may have stopped.
	secondFetchDelay = time.Second
	// fetchTimeout covers a state of the maximum message size over a link of 10 Mbit/s. A coordinator that stops sending
	// is detected earlier, by the keepalive of the connection.
	fetchTimeout = 30 * time.Second
)

// source is where a state is fetched from.
type source struct {
	coordinator netip.AddrPort
	// revision is the one that the coordinator offered; 0 for a state from replayed logs.
	revision uint64
	// confirmed is false for a state from replayed logs.
	confirmed bool
}

// fetches holds the fetches in progress.
type fetches struct {
	running []*runningFetch
}

type runningFetch struct {
	source    source
	startedAt time.Time
	cancel    context.CancelFunc
}

// start adds a fetch and returns it, or nil if it has to wait for those in progress.
func (f *fetches) start(now time.Time, from source, cancel context.CancelFunc) *runningFetch {
	if len(f.running) >= maxFetches {
		return nil
	}
	for _, running := range f.running {
		if running.source.coordinator == from.coordinator || now.Sub(running.startedAt) < secondFetchDelay {
			return nil
		}
	}
	started := &runningFetch{source: from, startedAt: now, cancel: cancel}
	f.running = append(f.running, started)
	return started
}

// end removes a fetch.
func (f *fetches) end(ended *runningFetch) {
	f.running = slices.DeleteFunc(f.running, func(running *runningFetch) bool { return running == ended })
}

// cancelUpTo cancels the fetches of a revision up to the given one, which is in force.
func (f *fetches) cancelUpTo(revision uint64) {
	for _, running := range f.running {
		if running.source.revision <= revision {
			running.cancel()
		}
	}
}

// fetch fetches a state and applies it, unless other fetches are in progress: the state is then fetched after a later
// heartbeat if it is still needed.
func (h *heartbeater) fetch(ctx context.Context, from source) {
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	h.mu.Lock()
	running := h.fetches.start(time.Now(), from, cancel)
	h.mu.Unlock()
	if running == nil {
		return
	}
	call := h.client.FetchAppliedState
	if !from.confirmed {
		call = h.client.FetchReplayedState
	}
	state, err := call(callCtx, from.coordinator)
	h.mu.Lock()
	h.fetches.end(running)
	h.mu.Unlock()
	took := time.Since(running.startedAt)
	h.config.Metrics.observeFetch(err, len(state.Text), took)
	if err != nil {
		h.logFailedFetch(from, took, err, ctx.Err() == nil && errors.Is(callCtx.Err(), context.Canceled))
		return
	}
	h.apply(state, from, running.startedAt)
}

// logFailedFetch logs why a fetch failed; superseded is set if another one was faster.
func (h *heartbeater) logFailedFetch(from source, took time.Duration, err error, superseded bool) {
	h.config.Logger.WithFields(logrus.Fields{
		"coordinator": from.coordinator.String(), "revision": from.revision, "ms": took.Milliseconds(), "superseded": superseded,
	}).WithError(err).Info("fetching the state failed")
}

// apply puts a state in force if mayApply allows that, so that an older document never replaces a newer one.
func (h *heartbeater) apply(state fleetserver.State, from source, askedAt time.Time) {
	took := time.Since(askedAt)
	h.applyMu.Lock()
	defer h.applyMu.Unlock()
	offered := stateMark{revision: state.Revision, version: state.Version, confirmed: from.confirmed}
	if state.Version == 0 || !h.mayApply(state, from.confirmed) {
		h.logRefusedState(from.coordinator, offered)
		return
	}
	document, err := h.decode(state)
	if err != nil {
		h.config.Logger.WithError(err).Error("decoding the new document failed; keeping the applied one")
		return
	}
	h.config.Answerer.SetState(answerer.State{
		Document: document, Evacuated: state.Evacuated, Revision: state.Revision, Confirmed: from.confirmed, ConfirmedAt: askedAt,
	})
	h.mu.Lock()
	applied := h.appliedMark()
	h.revision, h.version, h.unconfirmed = state.Revision, state.Version, !from.confirmed
	if from.confirmed {
		h.fetches.cancelUpTo(state.Revision)
	}
	h.mu.Unlock()
	h.config.Logger.WithFields(stateFields(from.coordinator, applied, offered, stateReason(applied, offered, true))).
		WithFields(logrus.Fields{"evacuated": state.Evacuated, "bytes": len(state.Text), "fetch-ms": took.Milliseconds()}).
		Info("state is in force")
}

// decode returns the document of a state.
func (h *heartbeater) decode(state fleetserver.State) (*director.Document, error) {
	text, err := state.Document()
	if err != nil {
		return nil, err
	}
	return h.config.DecodeDocument(text)
}

// mayApply reports whether a state may replace the applied one. A state from replayed logs is replaced by one that a
// leader has confirmed, but not by a lower version: the leader may still lack a change that was never acknowledged,
// until it is sent again.
func (h *heartbeater) mayApply(state fleetserver.State, confirmed bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !confirmed {
		return h.revision == 0
	}
	if h.unconfirmed {
		return state.Version >= h.version
	}
	return state.Revision > h.revision
}
