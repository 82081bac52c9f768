package conductor

import (
	"net/netip"

	"github.com/sirupsen/logrus"
)

// stateMark identifies a state that a coordinator returned, for the log.
type stateMark struct {
	revision, version uint64
	confirmed         bool
}

// appliedMark returns the mark of the applied state. The lock must be held.
func (h *heartbeater) appliedMark() stateMark {
	return stateMark{revision: h.revision, version: h.version, confirmed: h.revision != 0 && !h.unconfirmed}
}

// stateReason names why a state replaces the applied one, or why it does not.
func stateReason(applied, offered stateMark, allowed bool) string {
	switch {
	case offered.version == 0:
		return "no-document"
	case !allowed && !offered.confirmed:
		return "replayed-after-first"
	case !allowed && !applied.confirmed:
		return "lower-version-than-replayed"
	case !allowed:
		return "not-newer"
	case applied.revision == 0:
		return "first"
	case !applied.confirmed && offered.revision < applied.revision:
		return "confirmed-with-lower-revision"
	case !applied.confirmed:
		return "confirmed"
	default:
		return "newer-revision"
	}
}

func stateFields(address netip.AddrPort, applied, offered stateMark, reason string) logrus.Fields {
	return logrus.Fields{
		"coordinator": address.String(), "reason": reason,
		"revision": offered.revision, "version": offered.version, "confirmed": offered.confirmed,
		"previous-revision": applied.revision, "previous-version": applied.version, "previous-confirmed": applied.confirmed,
	}
}

// logRefusedState logs a state that was not applied, once for each coordinator until it offers another one. A state
// that is already applied is no refusal.
func (h *heartbeater) logRefusedState(address netip.AddrPort, offered stateMark) {
	h.mu.Lock()
	applied := h.appliedMark()
	state := h.stateOf(address)
	known := offered == applied || state.refused == offered
	state.refused = offered
	h.mu.Unlock()
	if known {
		return
	}
	h.config.Logger.WithFields(stateFields(address, applied, offered, stateReason(applied, offered, false))).
		Info("state not applied")
}
