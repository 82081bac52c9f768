package admitter

import "time"

// item is one queued request.
type item struct {
	offer AdmissionRequest
	since time.Time
}

// line is the queue of one organisation within a rank, first come first served.
type line struct {
	name   string
	weight float64
	items  []item
	start  float64 // virtual start time of the first item
	finish float64 // virtual finish time of the last admitted item
	served decayed // work admitted
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
	weights  float64 // of all lines
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
	l = &line{name: name, weight: weight, served: decayed{memory: shareMemory}}
	r.lines[name] = l
	r.weights += weight
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

// first returns the line that is furthest behind its fair share.
func (r *rank) first() *line {
	first := r.active[0]
	for _, l := range r.active[1:] {
		if l.start < first.start {
			first = l
		}
	}
	return first
}

// pop takes the first item of a line.
func (r *rank) pop(now time.Time, first *line) item {
	it := first.items[0]
	r.virtual = first.start
	first.finish = first.start + it.offer.Work/first.weight
	first.start = first.finish
	first.served.add(now, it.offer.Work)
	r.cut(first, 0)
	return it
}

// overFair says whether a line recently got clearly more than its fair share of what all lines got.
func (r *rank) overFair(now time.Time, l *line) bool {
	return l.served.read(now)*r.weights > overFairPart*l.weight*r.served.read(now)
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

// ahead returns the queued requests that are served before a new one of a line.
func (r *rank) ahead(l *line) int {
	start := l.nextStart(r.virtual)
	count := len(l.items)
	for _, other := range r.active {
		if other != l {
			count += other.before(start)
		}
	}
	return count
}

// nextStart is the virtual start time of a new request of the line.
func (l *line) nextStart(virtual float64) float64 {
	if len(l.items) == 0 {
		return max(virtual, l.finish)
	}
	start := l.start
	for _, it := range l.items {
		start += it.offer.Work / l.weight
	}
	return start
}

// before returns how many requests of the line start before a virtual time.
func (l *line) before(virtual float64) int {
	start := l.start
	for i, it := range l.items {
		if start >= virtual {
			return i
		}
		start += it.offer.Work / l.weight
	}
	return len(l.items)
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
func (r *rank) forget(now time.Time) {
	for name, l := range r.lines {
		if len(l.items) == 0 && l.finish <= r.virtual && l.served.read(now) < leastServed {
			delete(r.lines, name)
			r.weights -= l.weight
		}
	}
}

// demand is the mean requests in flight that the recent arrivals would cause.
func (r *rank) demand(now time.Time) float64 {
	return r.arrivals.rate(now) * r.hold.Seconds()
}
