package coordinator

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"sequoiaspread.example/sequoia/registrar"
)

// Put proposes a validated document. It returns once that version or a higher one is durable on a majority.
func (c *Coordinator) Put(ctx context.Context, version uint64, text []byte) error {
	put, err := registrar.NewPut(version, text)
	if err != nil {
		return wrapError("put", KindInvalid, err)
	}
	_, err = c.propose(ctx, registrar.Command{Put: put})
	return err
}

// Evacuation is an order to start or end the evacuation of an availability zone.
type Evacuation struct {
	Zone   string
	Active bool
	// Waiting reports whether the sender of the order still waits for its outcome. One that does not may have sent it to
	// another coordinator, and newer ones after it.
	Waiting func() bool
}

// Evacuate carries out an order while its sender waits. What the zone's evacuations are is read before that is checked,
// and the change is conditional on it: no order that was acknowledged before this one was given up is undone by it, however
// late it is read, proposed or committed.
func (c *Coordinator) Evacuate(ctx context.Context, order Evacuation) error {
	after := c.evacuations(order.Zone)
	for {
		if !order.Waiting() {
			return wrapError("evacuate", KindWithdrawn, eris.New("the sender no longer waits"))
		}
		outcome, err := c.propose(ctx, registrar.Command{
			Evacuate: &registrar.Evacuate{Zone: order.Zone, Active: order.Active, After: &after},
		})
		if err != nil || !outcome.Superseded {
			return err
		}
		c.logger.WithFields(logrus.Fields{
			"zone": order.Zone, "active": order.Active, "after": after, "evacuations": outcome.Evacuations,
		}).Info("evacuation follows an older state; proposing it again")
		after = outcome.Evacuations
	}
}

// evacuations returns the number of evacuation commands of a zone that this process has applied.
func (c *Coordinator) evacuations(zone string) uint64 {
	if m := c.member.Load(); m != nil {
		return m.stateMachine.visibleEvacuations(zone)
	}
	return 0
}

// Read returns the newest state, with the document as plain text. It goes through the consensus log, so a partitioned
// member cannot return a stale state.
func (c *Coordinator) Read(ctx context.Context) (registrar.State, error) {
	outcome, err := c.propose(ctx, registrar.Command{Read: true})
	if err != nil {
		return registrar.State{}, err
	}
	if outcome.State == nil {
		return registrar.State{}, wrapError("read", KindUndecided, eris.New("the outcome holds no state"))
	}
	state := *outcome.State
	if state.Text, err = state.Document(); err != nil {
		return registrar.State{}, wrapError("read", KindInvalid, err)
	}
	return state, nil
}

func (c *Coordinator) propose(ctx context.Context, command registrar.Command) (registrar.Outcome, error) {
	m := c.member.Load()
	if m == nil {
		return registrar.Outcome{}, wrapError("propose", KindNotMember, eris.New("the member has not started yet"))
	}
	id, err := uuid.NewRandom()
	if err != nil {
		return registrar.Outcome{}, wrapError("propose", KindUndecided, err)
	}
	command.ID = id.String()
	outcome, err := m.consensus.Propose(ctx, command)
	if err != nil {
		return outcome, wrapError("propose", KindUndecided, err)
	}
	return outcome, nil
}

func (c *Coordinator) logStateChange(state registrar.State) {
	c.logger.WithFields(logrus.Fields{
		"revision": state.Revision, "version": state.Version, "evacuated": state.Evacuated,
	}).Info("state is in force")
}

// AppliedState returns the state applied by this process, which may lag behind the newest one. After a restart it is
// empty until a leader has confirmed it.
func (c *Coordinator) AppliedState() registrar.State {
	if m := c.member.Load(); m != nil {
		return m.appliedState(time.Now())
	}
	return registrar.State{}
}

// ReplayedState returns the state at the end of the log of a restarted voter.
func (c *Coordinator) ReplayedState() registrar.State {
	if m := c.member.Load(); m != nil {
		return m.replayedState
	}
	return registrar.State{}
}
