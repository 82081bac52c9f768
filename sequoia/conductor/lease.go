package conductor

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/lessee"
	"sequoiaspread.example/sequoia/lessor"
)

// leaseCheckInterval is the time between two checks whether the demand of organisations should be reported early.
const leaseCheckInterval = 50 * time.Millisecond

// requestLeases reports the demand of organisations between heartbeats while that brings or releases shares.
func (h *heartbeater) requestLeases(ctx context.Context) {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !h.config.Answerer.EarlyReportDue() {
			continue
		}
		for _, address := range h.leaders() {
			calls.Go(func() { h.requestLease(ctx, address) })
		}
	}
}

func (h *heartbeater) requestLease(ctx context.Context, address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := time.Now()
	demand := h.config.Answerer.EarlyDemandReport()
	reply, err := h.client.RequestLease(ctx, address, fleetserver.LeaseRequest{Name: h.config.Self.Name, Demand: demand})
	if err != nil {
		h.config.Logger.WithField("coordinator", address.String()).WithError(err).Debug("lease request not answered")
		return
	}
	h.applyLease(address, sentAt, demand, reply.Lease)
}

// applyLease applies the lease in a reply, or records that its sender does not lead.
func (h *heartbeater) applyLease(address netip.AddrPort, sentAt time.Time, demand *lessor.Report, lease *lessor.Grant) {
	h.mu.Lock()
	h.stateOf(address).leads = lease != nil
	h.mu.Unlock()
	if lease != nil {
		h.config.Answerer.ApplyLease(sentAt, demand, *lease)
	}
}

// leads reports whether a coordinator led when it last replied.
func (h *heartbeater) leads(address netip.AddrPort) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stateOf(address).leads
}

// leaders returns the coordinators that led when they last replied: one, except after a change.
func (h *heartbeater) leaders() []netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []netip.AddrPort
	for address, state := range h.coordinators {
		if state.leads {
			list = append(list, address)
		}
	}
	return list
}

// logLeaseChange logs when the shares of this VM have ended without new ones, and when it has some again. It is called
// once per heartbeat interval, which bounds the lines.
func (h *heartbeater) logLeaseChange() {
	if change := h.config.Answerer.LeaseChange(); change != lessee.LeaseUnchanged {
		h.config.Logger.WithField("change", string(change)).Info("lease of rate limits changed")
	}
}
