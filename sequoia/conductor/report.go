package conductor

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"sequoiaspread.example/sequoia/fleetserver"
)

const (
	reportInterval = 500 * time.Millisecond
	reportTimeout  = 1500 * time.Millisecond
	// replyTimeout is the age at which the reply of a coordinator no longer counts, as long as another one is fresher.
	replyTimeout = 3 * time.Second
)

// reporter keeps in touch with the coordinators.
type reporter struct {
	config Config
	client *fleetserver.Client

	mu       sync.Mutex
	revision uint64
	// known are the coordinators that replies named, beside those of the settings.
	known   []netip.AddrPort
	replies map[netip.AddrPort]heard
	calling map[netip.AddrPort]bool
	inTouch bool
	apply   sync.Mutex
}

// heard is the last reply of a coordinator.
type heard struct {
	reply fleetserver.Reply
	at    time.Time
}

func newReporter(config Config, client *fleetserver.Client) *reporter {
	return &reporter{config: config, client: client, replies: map[netip.AddrPort]heard{}, calling: map[netip.AddrPort]bool{}}
}

func (r *reporter) run(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var work sync.WaitGroup
	defer work.Wait()
	for {
		for _, address := range r.coordinators() {
			if r.begin(address) {
				work.Go(func() { r.call(ctx, address) })
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		r.noteTouch()
	}
}

// announce reports to all coordinators at once and waits for them.
func (r *reporter) announce(ctx context.Context) {
	var work sync.WaitGroup
	for _, address := range r.coordinators() {
		work.Go(func() { r.call(ctx, address) })
	}
	work.Wait()
}

func (r *reporter) coordinators() []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := slices.Concat(r.config.Coordinators(), r.known)
	slices.SortFunc(list, func(a, b netip.AddrPort) int { return a.Compare(b) })
	return slices.Compact(list)
}

func (r *reporter) begin(address netip.AddrPort) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calling[address] {
		return false
	}
	r.calling[address] = true
	return true
}

func (r *reporter) call(ctx context.Context, address netip.AddrPort) {
	attempt, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	self := r.config.Self
	self.Stopping = r.config.Answerer.Stopping()
	self.Load = r.config.Answerer.Load()
	reply, err := r.client.Report(attempt, address, fleetserver.Report{Entry: self})
	r.mu.Lock()
	r.calling[address] = false
	r.mu.Unlock()
	if err != nil {
		r.config.Logger.WithField("coordinator", address.String()).WithError(err).Debug("report not answered")
		return
	}
	r.take(ctx, address, reply)
}

func (r *reporter) take(ctx context.Context, address netip.AddrPort, reply fleetserver.Reply) {
	r.mu.Lock()
	r.replies[address] = heard{reply: reply, at: time.Now()}
	if len(reply.Coordinators) > 0 {
		r.known = reply.Coordinators
	}
	fleet := r.fleet()
	newer := reply.Revision > r.revision
	r.mu.Unlock()
	r.config.Answerer.SetFleet(fleet)
	if newer {
		r.fetch(ctx, address)
	}
}

// fleet joins what the coordinators know; an entry VM is live if one of them heard from it.
func (r *reporter) fleet() []fleetserver.Entry {
	byName := map[string]fleetserver.Entry{}
	for address, each := range r.replies {
		if time.Since(each.at) > replyTimeout {
			delete(r.replies, address)
			continue
		}
		for _, entry := range each.reply.Fleet {
			byName[entry.Name] = entry
		}
	}
	list := make([]fleetserver.Entry, 0, len(byName))
	for _, entry := range byName {
		list = append(list, entry)
	}
	slices.SortFunc(list, func(a, b fleetserver.Entry) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}

// fetch puts the state of a coordinator in force if it is newer than the own one; a lower one never comes back.
func (r *reporter) fetch(ctx context.Context, address netip.AddrPort) {
	attempt, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	state, err := r.client.Fetch(attempt, address)
	if err != nil {
		r.config.Logger.WithField("coordinator", address.String()).WithError(err).Info("state not fetched")
		return
	}
	r.apply.Lock()
	defer r.apply.Unlock()
	r.mu.Lock()
	newer := state.Revision > r.revision
	r.mu.Unlock()
	if !newer || state.Version == 0 {
		return
	}
	document, err := r.config.Decode(state.Text)
	if err != nil {
		r.config.Logger.WithError(err).Error("the agreed document cannot be read; the last one stays in force")
		return
	}
	r.config.Answerer.SetDocument(document, state.Evacuated)
	r.mu.Lock()
	r.revision = state.Revision
	r.mu.Unlock()
	r.config.Logger.WithField("revision", state.Revision).WithField("version", state.Version).
		WithField("evacuated", state.Evacuated).Info("state is in force")
}

// noteTouch logs the loss and the return of all coordinators.
func (r *reporter) noteTouch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	touch := false
	for _, each := range r.replies {
		touch = touch || time.Since(each.at) <= replyTimeout
	}
	if touch != r.inTouch {
		r.config.Logger.WithField("in-touch", touch).Info("contact with the coordinators changed")
	}
	r.inTouch = touch
}
