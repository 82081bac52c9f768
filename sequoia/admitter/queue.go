package admitter

import "time"

// item is one queued request.
type item struct {
	offer Offer
	since time.Time
}

// line is the queue of one organisation within a rank, first come first served.
type line struct {
	name   string
	weight float64
	items  []item
	start  float64 // virtual start time of the first item
	finish float64 // virtual finish time of the last admitted item
}

// rank is the state of one rank: its lines are served by start-time fair queueing.
type rank struct {
	number   int
	share    float64
	target   time.Duration
	maxWait  time.Duration
	limit    int
	lines    map[string]*line
	active   []*line // lines with items
	queued   int
	virtual  float64
	inFlight int
	served   decayed // work admitted
	arrivals decayed
	admitted decayed
	hold     time.Duration // smoothed time that a request keeps its slot
}

func (r *rank) line(name string, weights map[string]float64) *line {
	l, ok := r.lines[name]
	if ok {
		return l
	}
	weight := weights[name]
	if weight <= 0 {
		weight = 1
	}
	l = &line{name: name, weight: weight}
	r.lines[name] = l
	return l
}

func (r *rank) push(l *line, it item) {
	if len(l.items) == 0 {
		l.start = max(r.virtual, l.finish)
		r.active = append(r.active, l)
	}
	l.items = append(l.items, it)
	r.queued++
}

// pop takes the first item of the line that is furthest behind its fair share.
func (r *rank) pop() item {
	first := r.active[0]
	for _, l := range r.active[1:] {
		if l.start < first.start {
			first = l
		}
	}
	it := first.items[0]
	r.virtual = first.start
	first.finish = first.start + it.offer.Work/first.weight
	first.start = first.finish
	r.cut(first, 0)
	return it
}

// cut removes one item of a line.
func (r *rank) cut(l *line, i int) {
	l.items = append(l.items[:i], l.items[i+1:]...)
	r.queued--
	if len(l.items) == 0 {
		r.deactivate(l)
	}
}

func (r *rank) deactivate(l *line) {
	for i, other := range r.active {
		if other == l {
			r.active = append(r.active[:i], r.active[i+1:]...)
			return
		}
	}
}

// longest returns the line with the most queued requests for its weight.
func (r *rank) longest() *line {
	var found *line
	for _, l := range r.active {
		if found == nil || float64(len(l.items))/l.weight > float64(len(found.items))/found.weight {
			found = l
		}
	}
	return found
}

// forget drops idle lines whose past no longer matters.
func (r *rank) forget() {
	for name, l := range r.lines {
		if len(l.items) == 0 && l.finish <= r.virtual {
			delete(r.lines, name)
		}
	}
}

// demand is the mean requests in flight that the recent arrivals would cause.
func (r *rank) demand(now time.Time) float64 {
	return r.arrivals.rate(now) * r.hold.Seconds()
}
