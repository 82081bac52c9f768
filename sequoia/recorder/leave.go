package recorder

import (
	"slices"
	"time"
)

// leave proposes a view without this member. A primary proposes a member that holds every permit as its successor,
// alone like any member that takes over; a member that is alone in its view has nobody to hand over to.
func (r *Recorder) leave(now time.Time) {
	view := r.meta.View
	if !view.Has(r.config.Member) {
		return
	}
	if !r.leads() {
		rest := slices.DeleteFunc(slices.Clone(view.Members), func(m string) bool { return m == r.config.Member })
		r.propose(now, Propose{View: view.next(view.Primary, rest...)})
		return
	}
	for _, member := range view.Members {
		if t := r.targets[member]; t != nil && t.complete && now.Sub(t.heard) < silentAfter {
			r.propose(now, Propose{View: view.next(member, member)})
			return
		}
	}
}
