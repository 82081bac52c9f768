package orderer

import (
	"fmt"
	"time"
)

// inFlightOrder is an order that was sent and not yet answered.
type inFlightOrder struct {
	target   Target
	deadline time.Time
}

// targetState is the desired and the observed state of a target.
type targetState struct {
	Assignment
	observed    ModelState
	nextOrderAt time.Time
	loading     bool
}

// Orderer reconciles the models of upstreams with their desired states while it holds the lease.
type Orderer struct {
	config          Config
	lease           lease
	targets         map[Target]*targetState
	targetOrder     []Target
	inFlight        map[string]inFlightOrder
	lastOrderNumber uint64
	nextUnloadAt    time.Time
}

// New returns an orderer that does not hold the lease.
func New(config Config) *Orderer {
	return &Orderer{config: config.withDefaults(), targets: map[Target]*targetState{}, inFlight: map[string]inFlightOrder{}}
}

// Step handles one message and returns the effects to perform.
func (o *Orderer) Step(now time.Time, m Message) []Effect {
	switch m := m.(type) {
	case LeaseObserved:
		return o.handleLeaseObserved(now, m)
	case LeaseReply:
		return o.handleLeaseReply(now, m)
	case Plan:
		o.handlePlan(m)
	case ModelObserved:
		o.handleModelObserved(m)
	case UpstreamRemoved:
		o.handleUpstreamRemoved(m)
	case OrderReply:
		return o.handleOrderReply(now, m)
	}
	return nil
}

// Tick renews or acquires the lease, sends the orders that are due and returns the effects to perform.
func (o *Orderer) Tick(now time.Time) []Effect {
	effects := o.renewOrAcquireLease(now)
	o.expireOrders(now)
	return append(effects, o.sendOrders(now)...)
}

// HeldLease reports whether this controller holds the lease now, and its fencing token.
func (o *Orderer) HeldLease(now time.Time) (fencingToken uint64, ok bool) {
	return o.lease.token, o.lease.held && now.Before(o.lease.validUntil)
}

// HolderID returns the id under which this controller holds the lease.
func (o *Orderer) HolderID() string {
	return o.config.HolderID
}

func (o *Orderer) handlePlan(plan Plan) {
	previous := o.targets
	o.targets = make(map[Target]*targetState, len(plan.Assignments))
	o.targetOrder = o.targetOrder[:0]
	for _, assignment := range plan.Assignments {
		state := &targetState{Assignment: assignment}
		if known, ok := previous[assignment.Target]; ok {
			state.observed, state.nextOrderAt, state.loading = known.observed, known.nextOrderAt, known.loading
		}
		if _, duplicate := o.targets[assignment.Target]; !duplicate {
			o.targetOrder = append(o.targetOrder, assignment.Target)
		}
		o.targets[assignment.Target] = state
	}
}

func (o *Orderer) handleModelObserved(observed ModelObserved) {
	state, ok := o.targets[observed.Target]
	if !ok {
		return
	}
	state.observed = observed.State
	if observed.State == ModelLoaded {
		state.loading = false
	}
}

func (o *Orderer) handleUpstreamRemoved(removed UpstreamRemoved) {
	for key, state := range o.targets {
		if key.Upstream == removed.Upstream && key.Incarnation <= removed.Incarnation {
			state.State = state.observed
			state.loading = false
		}
	}
}

func (o *Orderer) handleOrderReply(now time.Time, reply OrderReply) []Effect {
	sent, ok := o.inFlight[reply.ID]
	if !ok {
		return nil
	}
	delete(o.inFlight, reply.ID)
	state, known := o.targets[sent.target]
	switch {
	case reply.Result == ResultStaleFencingToken:
		// Another controller has the lease, so this one must not be used although it has not expired.
		return o.dropLease()
	case reply.Result == ResultFailed && known:
		state.loading = false
		state.nextOrderAt = now.Add(o.config.RetryDelay)
	}
	return nil
}

func (o *Orderer) expireOrders(now time.Time) {
	for id, sent := range o.inFlight {
		if now.Before(sent.deadline) {
			continue
		}
		delete(o.inFlight, id)
		if state, ok := o.targets[sent.target]; ok {
			state.loading = false
		}
	}
}

// sendOrders sends an order for each target whose observed state differs from the desired one. Orders are idempotent,
// because they name the desired state.
func (o *Orderer) sendOrders(now time.Time) []Effect {
	var effects []Effect
	loading := o.countLoading()
	for _, key := range o.targetOrder {
		state := o.targets[key]
		if state.observed == state.State || state.observed == "" || now.Before(state.nextOrderAt) || !o.canSend(now, state.ChecksFencingToken) {
			continue
		}
		switch state.State {
		case ModelLoaded:
			if state.loading || loading >= o.config.MaxConcurrentLoads {
				continue
			}
			state.loading = true
			loading++
		case ModelUnloaded:
			if now.Before(o.nextUnloadAt) {
				continue
			}
			o.nextUnloadAt = now.Add(o.config.UnloadInterval)
		}
		effects = append(effects, o.send(now, state))
	}
	return effects
}

func (o *Orderer) send(now time.Time, state *targetState) Effect {
	o.lastOrderNumber++
	state.nextOrderAt = now.Add(o.config.RetryDelay)
	id := fmt.Sprintf("%s-%d-%d", o.config.HolderID, o.lease.token, o.lastOrderNumber)
	deadline := now.Add(o.config.SendTimeout)
	o.inFlight[id] = inFlightOrder{target: state.Target, deadline: deadline}
	return Send{ID: id, Target: state.Target, State: state.State, FencingToken: o.lease.token, Deadline: deadline}
}

func (o *Orderer) countLoading() int {
	count := 0
	for _, state := range o.targets {
		if state.loading {
			count++
		}
	}
	return count
}
