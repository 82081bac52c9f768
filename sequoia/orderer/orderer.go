package orderer

import (
	"fmt"
	"time"
)

// order is an order that was sent and not yet answered.
type order struct {
	target   Target
	deadline time.Time
}

// target is one row of the table of wanted and observed states.
type target struct {
	Assignment
	observed  ModelState
	nextOrder time.Time
	loading   bool
}

// Orderer brings upstreams to their wanted states while it holds the lease.
type Orderer struct {
	config     Config
	lease      lease
	targets    map[Target]*target
	sequence   []Target
	orders     map[string]order
	lastOrder  uint64
	nextUnload time.Time
}

// New returns an orderer that does not hold the lease.
func New(config Config) *Orderer {
	return &Orderer{config: config.withDefaults(), targets: map[Target]*target{}, orders: map[string]order{}}
}

// Step takes one message and returns the effects.
func (o *Orderer) Step(now time.Time, m Message) []Effect {
	switch m := m.(type) {
	case LeaseObserved:
		return o.takeSeen(now, m)
	case LeaseReply:
		return o.takeLeaseReply(now, m)
	case Plan:
		o.takePlan(m)
	case ModelObserved:
		o.takeObserved(m)
	case UpstreamRemoved:
		o.takeGone(m)
	case OrderReply:
		return o.takeOrderReply(now, m)
	}
	return nil
}

// Tick runs the systems over the table and returns the effects.
func (o *Orderer) Tick(now time.Time) []Effect {
	effects := o.keepLease(now)
	o.expireOrders(now)
	return append(effects, o.sendOrders(now)...)
}

// Holding reports whether this controller may use the lease now, and with which fencing number.
func (o *Orderer) HeldLease(now time.Time) (fencing uint64, ok bool) {
	return o.lease.fencing, o.lease.held && now.Before(o.lease.validUntil)
}

// Self returns the name under which this controller holds the lease.
func (o *Orderer) HolderID() string {
	return o.config.HolderID
}

func (o *Orderer) takePlan(plan Plan) {
	before := o.targets
	o.targets = make(map[Target]*target, len(plan.Assignments))
	o.sequence = o.sequence[:0]
	for _, assignment := range plan.Assignments {
		row := &target{Assignment: assignment}
		if known, ok := before[assignment.Target]; ok {
			row.observed, row.nextOrder, row.loading = known.observed, known.nextOrder, known.loading
		}
		if _, twice := o.targets[assignment.Target]; !twice {
			o.sequence = append(o.sequence, assignment.Target)
		}
		o.targets[assignment.Target] = row
	}
}

func (o *Orderer) takeObserved(observed ModelObserved) {
	row, ok := o.targets[observed.Target]
	if !ok {
		return
	}
	row.observed = observed.State
	if observed.State == ModelLoaded {
		row.loading = false
	}
}

func (o *Orderer) takeGone(gone UpstreamRemoved) {
	for key, row := range o.targets {
		if key.Upstream == gone.Upstream && key.Incarnation <= gone.Incarnation {
			row.State = row.observed
			row.loading = false
		}
	}
}

func (o *Orderer) takeOrderReply(now time.Time, reply OrderReply) []Effect {
	sent, ok := o.orders[reply.ID]
	if !ok {
		return nil
	}
	delete(o.orders, reply.ID)
	row, known := o.targets[sent.target]
	switch {
	case reply.Result == ResultStaleFencingToken:
		// Another controller has the lease; ours may not be used for the rest of its time.
		return o.dropLease()
	case reply.Result == ResultFailed && known:
		row.loading = false
		row.nextOrder = now.Add(o.config.RetryDelay)
	}
	return nil
}

func (o *Orderer) expireOrders(now time.Time) {
	for id, sent := range o.orders {
		if now.Before(sent.deadline) {
			continue
		}
		delete(o.orders, id)
		if row, ok := o.targets[sent.target]; ok {
			row.loading = false
		}
	}
}

// sendOrders orders each target whose observed state differs from the wanted one. Orders name the wanted state, so that
// repeating one changes nothing.
func (o *Orderer) sendOrders(now time.Time) []Effect {
	var effects []Effect
	loading := o.countLoading()
	for _, key := range o.sequence {
		row := o.targets[key]
		if row.observed == row.State || row.observed == "" || now.Before(row.nextOrder) || !o.mayStart(now, row.ChecksFencingToken) {
			continue
		}
		switch row.State {
		case ModelLoaded:
			if row.loading || loading >= o.config.MaxConcurrentLoads {
				continue
			}
			row.loading = true
			loading++
		case ModelUnloaded:
			if now.Before(o.nextUnload) {
				continue
			}
			o.nextUnload = now.Add(o.config.UnloadInterval)
		}
		effects = append(effects, o.send(now, row))
	}
	return effects
}

func (o *Orderer) send(now time.Time, row *target) Effect {
	o.lastOrder++
	row.nextOrder = now.Add(o.config.RetryDelay)
	id := fmt.Sprintf("%s-%d-%d", o.config.HolderID, o.lease.fencing, o.lastOrder)
	deadline := now.Add(o.config.SendTimeout)
	o.orders[id] = order{target: row.Target, deadline: deadline}
	return Send{ID: id, Target: row.Target, State: row.State, FencingToken: o.lease.fencing, Deadline: deadline}
}

func (o *Orderer) countLoading() int {
	count := 0
	for _, row := range o.targets {
		if row.loading {
			count++
		}
	}
	return count
}
