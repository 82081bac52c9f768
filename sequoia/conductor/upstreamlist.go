package conductor

import (
	"time"

	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/fleetserver"
)

// listMaxAge is the time without an upstream list from a coordinator after which this VM reads the list itself.
const listMaxAge = 2 * time.Second

// listReading is the reading of the platform's list that is in use.
type listReading struct {
	// digest is 0 for a list that this VM read itself.
	digest uint64
	// readAt is when the list was read, receivedAt when a coordinator last passed on a newer reading.
	readAt, receivedAt time.Time
}

// listQuery is what a heartbeat said about the list of this VM.
type listQuery struct {
	askedAt time.Time
	digest  uint64
}

// handleUpstreamList uses the list of a coordinator if it was read later than the one in use, so that an older reading
// of another coordinator never takes back a change.
func (h *heartbeater) handleUpstreamList(list fleetserver.UpstreamList, query listQuery) {
	h.listMu.Lock()
	defer h.listMu.Unlock()
	readAt := query.askedAt.Add(-list.Age)
	h.mu.Lock()
	changed := list.Digest != h.list.digest
	// The coordinator left out the upstreams that this VM had when it asked; another list has replaced them since.
	omitted := changed && list.Digest == query.digest
	usable := readAt.After(h.list.readAt) && !omitted
	if usable {
		h.list = listReading{digest: list.Digest, readAt: readAt, receivedAt: time.Now()}
	}
	h.mu.Unlock()
	if !usable {
		return
	}
	if changed {
		h.config.Answerer.SetUpstreams(list.Upstreams)
	}
	h.config.Answerer.MarkCold(list.ColdRemaining)
	h.config.Answerer.MarkLeavingSince(query.askedAt, list.LeavingFor)
	h.config.Answerer.ConfirmUpstreams(readAt)
}

// setOwnList uses a list that this VM read itself.
func (h *heartbeater) setOwnList(list []dispatcher.Upstream, readAt time.Time) {
	h.listMu.Lock()
	defer h.listMu.Unlock()
	h.mu.Lock()
	usable := readAt.After(h.list.readAt)
	if usable {
		h.list.digest, h.list.readAt = 0, readAt
	}
	h.mu.Unlock()
	if !usable {
		return
	}
	h.config.Answerer.SetUpstreams(list)
	h.config.Answerer.ConfirmUpstreams(readAt)
}

// upstreamListMissing reports whether no coordinator has sent an upstream list lately.
func (h *heartbeater) upstreamListMissing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.list.receivedAt) > listMaxAge
}
