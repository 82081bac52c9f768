package estimator

import (
	"slices"
	"time"
)

const (
	othersWeight   = 0.5  // weight of a new report in the smoothed load of other VMs
	slownessWeight = 0.2  // weight of a new first token in the smoothed slowness
	decodeWeight   = 0.05 // weight of a new answer in the smoothed decode length
	sumMemory      = 0.99 // factor per report by which earlier reports fade from the ratio of others to own
	leastOwnSum    = 5.0  // own requests below which the ratio is not known
	mostSkew       = 4.0  // bounds the ratio when this VM has few requests
	maxSlowness    = 50.0 // one stalled answer must not exclude an upstream for long
	idleRecovery   = 0.97 // factor per tick by which slowness of an unused upstream returns to 1
)

// Estimator holds the load of all upstreams as seen by one process.
type Estimator struct {
	config    Config
	rows      []row
	summaries []summary // by row
	index     map[string]int
	flights   map[string]flight
	decode    map[Class]float64

	ownSum    float64 // own requests in recent reports, fading
	othersSum float64 // requests of other VMs in recent reports, fading
}

// New returns an estimator without upstreams.
func New(config Config) *Estimator {
	return &Estimator{
		config:  config.withDefaults(),
		index:   map[string]int{},
		flights: map[string]flight{},
		decode:  map[Class]float64{},
	}
}

// Step takes in one message; messages about earlier incarnations are ignored.
func (e *Estimator) Step(now time.Time, m Message) {
	switch m := m.(type) {
	case UpstreamAdded:
		e.seen(now, m)
	case LoadReport:
		e.reported(now, m)
	case RequestSent:
		e.sent(now, m)
	case FirstToken:
		e.firstToken(now, m.RequestID)
	case RequestCompleted:
		e.finished(now, m)
	case RequestFailed:
		e.ended(now, m.RequestID)
	case PeerLoad:
		e.peer(now, m)
	case UpstreamRemoved:
		e.gone(m.Upstream)
	}
}

// Tick lets the slowness of unused upstreams return towards 1, so that they are tried again.
func (e *Estimator) Tick(now time.Time) {
	for i := range e.rows {
		r := &e.rows[i]
		if r.used && r.own == 0 {
			r.slowness = 1 + (r.slowness-1)*idleRecovery
		}
		e.refresh(now, i)
	}
}

func (e *Estimator) seen(now time.Time, m UpstreamAdded) {
	i, ok := e.index[m.Upstream.Name]
	if !ok {
		i = e.free()
		e.index[m.Upstream.Name] = i
	}
	r := &e.rows[i]
	if r.used && r.upstream.Incarnation >= m.Upstream.Incarnation {
		r.batchLimit = m.BatchLimit
		return
	}
	if r.used {
		e.dropFlights(i)
	}
	*r = row{upstream: m.Upstream, used: true, batchLimit: m.BatchLimit, slowness: 1}
	e.refresh(now, i)
}

func (e *Estimator) free() int {
	for i := range e.rows {
		if !e.rows[i].used {
			return i
		}
	}
	e.rows = append(e.rows, row{})
	e.summaries = append(e.summaries, summary{})
	return len(e.rows) - 1
}

func (e *Estimator) gone(u Upstream) {
	i, ok := e.find(u)
	if !ok {
		return
	}
	e.dropFlights(i)
	e.rows[i] = row{}
	delete(e.index, u.Name)
}

func (e *Estimator) dropFlights(i int) {
	for id, f := range e.flights {
		if f.row == i {
			delete(e.flights, id)
		}
	}
}

func (e *Estimator) find(u Upstream) (int, bool) {
	i, ok := e.index[u.Name]
	if !ok || e.rows[i].upstream.Incarnation != u.Incarnation {
		return 0, false
	}
	return i, true
}

func (e *Estimator) reported(now time.Time, m LoadReport) {
	i, ok := e.find(m.Upstream)
	if !ok {
		return
	}
	r := &e.rows[i]
	if r.reported && !m.At.After(r.report.At) {
		return
	}
	own, sentSince := r.ownAt(m.At)
	others := max(float64(m.Running+m.Waiting-own), 0)
	if r.reported {
		others = r.others + (others-r.others)*othersWeight
	}
	e.ownSum = e.ownSum*sumMemory + float64(own)
	e.othersSum = e.othersSum*sumMemory + max(float64(m.Running+m.Waiting-own), 0)
	r.others = others
	r.sentSince = sentSince
	r.report = m
	r.reported = true
	e.refresh(now, i)
}

// peer replaces what is known of one VM and forgets VMs that are silent.
func (e *Estimator) peer(now time.Time, m PeerLoad) {
	i, ok := e.find(m.Upstream)
	if !ok {
		return
	}
	r := &e.rows[i]
	r.peers = slices.DeleteFunc(r.peers, func(p peer) bool {
		return p.vm == m.VM || now.Sub(p.at) > e.config.ReportTimeout
	})
	r.peers = append(r.peers, peer{vm: m.VM, at: m.At, own: m.InFlight})
	r.peerSum = 0
	r.peerAt = m.At
	for _, p := range r.peers {
		r.peerSum += float64(p.own)
		if p.at.Before(r.peerAt) {
			r.peerAt = p.at
		}
	}
	_, r.sentSincePeers = r.ownAt(r.peerAt)
	e.ownSum = e.ownSum*sumMemory + float64(r.own)
	e.othersSum = e.othersSum*sumMemory + r.peerSum
	e.refresh(now, i)
}

func (e *Estimator) sent(now time.Time, m RequestSent) {
	i, ok := e.find(m.Upstream)
	if !ok {
		return
	}
	r := &e.rows[i]
	left := float64(max(m.PromptTokens-m.HitTokens, 0))
	expected := e.prefillTime(i, m.Class.Rank, left)
	e.flights[m.RequestID] = flight{row: i, class: m.Class, sent: now, left: left, expected: expected}
	r.own++
	r.sentSince++
	r.sentSincePeers++
	r.backlog[rankRow(m.Class.Rank)] += left
	r.record(now, 1)
	e.refresh(now, i)
}

func (e *Estimator) firstToken(now time.Time, id string) {
	f, ok := e.flights[id]
	if !ok || f.started {
		return
	}
	r := &e.rows[f.row]
	e.prefilled(&f)
	ratio := min(now.Sub(f.sent).Seconds()/f.expected.Seconds(), maxSlowness)
	r.slowness += (ratio*r.slowness - r.slowness) * slownessWeight
	r.slowness = min(max(r.slowness, 1), maxSlowness)
	e.flights[id] = f
	e.refresh(now, f.row)
}

func (e *Estimator) prefilled(f *flight) {
	r := &e.rows[f.row]
	slot := rankRow(f.class.Rank)
	r.backlog[slot] = max(r.backlog[slot]-f.left, 0)
	f.started = true
}

func (e *Estimator) finished(now time.Time, m RequestCompleted) {
	f, ok := e.flights[m.RequestID]
	if !ok {
		return
	}
	mean := e.DecodeTokens(f.class)
	e.decode[f.class] = mean + (float64(m.OutputTokens)-mean)*decodeWeight
	e.ended(now, m.RequestID)
}

func (e *Estimator) ended(now time.Time, id string) {
	f, ok := e.flights[id]
	if !ok {
		return
	}
	delete(e.flights, id)
	if !f.started {
		e.prefilled(&f)
	}
	r := &e.rows[f.row]
	r.own = max(r.own-1, 0)
	r.record(now, -1)
	e.refresh(now, f.row)
}
