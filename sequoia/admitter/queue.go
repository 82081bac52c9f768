package admitter

import "time"

// queuedRequest is a request waiting for admission.
type queuedRequest struct {
	request  AdmissionRequest
	queuedAt time.Time
}

// orgQueue is the FIFO queue of one organisation within a rank.
type orgQueue struct {
	organisation string
	weight       float64
	requests     []queuedRequest
	startTag     float64     // virtual start time of the first request
	finishTag    float64     // virtual finish time of the last admitted request
	served       decayingSum // admitted work
}

// rankQueue is the state of one rank, whose organisation queues are served by start-time fair queueing.
type rankQueue struct {
	index           int
	guaranteedShare float64
	target          time.Duration
	maxWait         time.Duration
	queueLimit      int
	queues          map[string]*orgQueue
	backlogged      []*orgQueue // non-empty queues
	totalWeight     float64     // sum over all queues
	queued          int
	virtualTime     float64
	inFlight        int
	served          decayingSum // admitted work
	arrivals        decayingSum
	admitted        decayingSum
	slotTime        time.Duration // moving average of the time that a request occupies its slot
}

func (r *rankQueue) queueOf(organisation string, weights map[string]float64) *orgQueue {
	q, ok := r.queues[organisation]
	if ok {
		return q
	}
	weight := weights[organisation]
	if weight <= 0 {
		weight = 1
	}
	q = &orgQueue{organisation: organisation, weight: weight, served: decayingSum{timeConstant: shareTimeConstant}}
	r.queues[organisation] = q
	r.totalWeight += weight
	return q
}

func (r *rankQueue) enqueue(q *orgQueue, queued queuedRequest) {
	if len(q.requests) == 0 {
		q.startTag = max(r.virtualTime, q.finishTag)
		r.backlogged = append(r.backlogged, q)
	}
	q.requests = append(q.requests, queued)
	r.queued++
}

// nextQueue returns the queue with the smallest start tag, which is the furthest below its fair share.
func (r *rankQueue) nextQueue() *orgQueue {
	first := r.backlogged[0]
	for _, q := range r.backlogged[1:] {
		if q.startTag < first.startTag {
			first = q
		}
	}
	return first
}

// dequeue removes the first request of a queue and advances the virtual time.
func (r *rankQueue) dequeue(now time.Time, q *orgQueue) queuedRequest {
	queued := q.requests[0]
	r.virtualTime = q.startTag
	q.finishTag = q.startTag + queued.request.Work/q.weight
	q.startTag = q.finishTag
	q.served.add(now, queued.request.Work)
	r.removeAt(q, 0)
	return queued
}

// exceedsFairShare reports whether an organisation recently got clearly more than its fair share of the rank's work.
func (r *rankQueue) exceedsFairShare(now time.Time, q *orgQueue) bool {
	return q.served.valueAt(now)*r.totalWeight > fairShareTolerance*q.weight*r.served.valueAt(now)
}

// removeAt removes one request from a queue.
func (r *rankQueue) removeAt(q *orgQueue, i int) {
	q.requests = append(q.requests[:i], q.requests[i+1:]...)
	r.queued--
	if len(q.requests) == 0 {
		r.removeBacklogged(q)
	}
}

func (r *rankQueue) removeBacklogged(q *orgQueue) {
	for i, other := range r.backlogged {
		if other == q {
			r.backlogged = append(r.backlogged[:i], r.backlogged[i+1:]...)
			return
		}
	}
}

// countAhead returns the number of queued requests that are served before a new one in a queue.
func (r *rankQueue) countAhead(q *orgQueue) int {
	start := q.nextStartTag(r.virtualTime)
	count := len(q.requests)
	for _, other := range r.backlogged {
		if other != q {
			count += other.countBefore(start)
		}
	}
	return count
}

// nextStartTag returns the virtual start time of a new request in the queue.
func (q *orgQueue) nextStartTag(virtualTime float64) float64 {
	if len(q.requests) == 0 {
		return max(virtualTime, q.finishTag)
	}
	start := q.startTag
	for _, queued := range q.requests {
		start += queued.request.Work / q.weight
	}
	return start
}

// countBefore returns the number of requests in the queue that start before a virtual time.
func (q *orgQueue) countBefore(virtualTime float64) int {
	start := q.startTag
	for i, queued := range q.requests {
		if start >= virtualTime {
			return i
		}
		start += queued.request.Work / q.weight
	}
	return len(q.requests)
}

// longestQueue returns the queue with the most requests relative to its weight.
func (r *rankQueue) longestQueue() *orgQueue {
	var found *orgQueue
	for _, q := range r.backlogged {
		if found == nil || float64(len(q.requests))/q.weight > float64(len(found.requests))/found.weight {
			found = q
		}
	}
	return found
}

// dropIdleQueues removes empty queues whose history no longer affects scheduling.
func (r *rankQueue) dropIdleQueues(now time.Time) {
	for name, q := range r.queues {
		if len(q.requests) == 0 && q.finishTag <= r.virtualTime && q.served.valueAt(now) < minServedWork {
			delete(r.queues, name)
			r.totalWeight -= q.weight
		}
	}
}

// demand returns the mean concurrency that the recent arrival rate would cause (Little's law).
func (r *rankQueue) demand(now time.Time) float64 {
	return r.arrivals.rate(now) * r.slotTime.Seconds()
}
