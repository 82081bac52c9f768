package lessor

import (
	"slices"
	"time"
)

// maxVectors limits the grants kept for one VM. Beyond that the two oldest are merged, as if both lasted as long as the
// later one.
const maxVectors = 4

// holder is what is known about one VM.
type holder struct {
	// wants are the shares that the VM would have if there were enough for all, demands those that its demand alone needs.
	wants, demands map[string]int64
	// vectors are the grants that may be in force at the VM, the oldest first.
	vectors []vector
	// inForce is the largest share of each organisation among them.
	inForce map[string]int64
}

// vector is one grant with the shares of all its organisations.
type vector struct {
	sequence  uint64
	expiresAt time.Time
	shares    map[string]int64
}

func newHolder() *holder {
	return &holder{}
}

// confirm drops the grants that the VM has replaced by the one with a sequence number.
func (h *holder) confirm(sequence uint64) {
	h.vectors = slices.DeleteFunc(h.vectors, func(v vector) bool { return v.sequence < sequence })
}

func (h *holder) expire(now time.Time) {
	h.vectors = slices.DeleteFunc(h.vectors, func(v vector) bool { return !v.expiresAt.After(now) })
}

func (h *holder) add(v vector) {
	h.vectors = append(h.vectors, v)
	if len(h.vectors) <= maxVectors {
		return
	}
	oldest, second := h.vectors[0], h.vectors[1]
	for name, share := range oldest.shares {
		second.shares[name] = max(second.shares[name], share)
	}
	h.vectors = slices.Delete(h.vectors, 0, 1)
}

func (h *holder) largest() map[string]int64 {
	if len(h.vectors) == 0 {
		return nil
	}
	largest := make(map[string]int64, len(h.vectors[len(h.vectors)-1].shares))
	for _, v := range h.vectors {
		for name, share := range v.shares {
			largest[name] = max(largest[name], share)
		}
	}
	return largest
}
