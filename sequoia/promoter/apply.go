package promoter

import (
	"fmt"
	"slices"
)

// Apply applies one committed command and returns its outcome. A resend gets the stored outcome of its request id.
func (p *Promoter) Apply(command Command) Outcome {
	if err := command.validate(); err != nil {
		return Outcome{Result: ResultForbidden, Reason: err.Error()}
	}
	p.state.Clock += command.Elapsed
	p.expireOutcomes()
	if command.RequestID == "" {
		return p.applyAction(command)
	}
	if stored, ok := p.outcomesByRequestID[command.RequestID]; ok {
		return stored.replay(command)
	}
	outcome := p.applyAction(command)
	p.storeOutcome(command, outcome)
	return outcome
}

func (p *Promoter) applyAction(command Command) Outcome {
	switch {
	case command.Trial != nil:
		return p.recordTrial(*command.Trial)
	case command.Promote != nil:
		return p.promote(command, *command.Promote)
	case command.AcquireLease != nil:
		return p.acquireLease(*command.AcquireLease)
	case command.RenewLease != nil:
		return p.renewLease(*command.RenewLease)
	case command.ChangeView != nil:
		return p.changeView(*command.ChangeView)
	default:
		return p.startEpoch(command, *command.StartEpoch)
	}
}

func (p *Promoter) recordTrial(t Trial) Outcome {
	if !p.triedDigests[t.Digest] {
		p.triedDigests[t.Digest] = true
		p.state.Trials = append(p.state.Trials, t.Digest)
	}
	if len(p.state.Trials) > trialLimit {
		delete(p.triedDigests, p.state.Trials[0])
		p.state.Trials = slices.Delete(p.state.Trials, 0, 1)
	}
	return Outcome{Result: ResultAccepted, Version: p.Version()}
}

func (p *Promoter) promote(command Command, promote Promote) Outcome {
	current := p.Version()
	if promote.Version == 0 {
		return Outcome{Result: ResultForbidden, Reason: "version 0 does not exist", Version: current}
	}
	if promote.Version <= current {
		return p.conflictOutcome(promote.Version)
	}
	if promote.Version != current+1 {
		reason := fmt.Sprintf("version %d skips ahead: the next version is %d", promote.Version, current+1)
		return Outcome{Result: ResultStale, Reason: reason, Version: current}
	}
	if !promote.WithoutTrial && !p.triedDigests[promote.Digest] {
		return Outcome{Result: ResultNoTrial, Reason: "the document had no trial", Version: current}
	}
	p.state.Text = promote.Text
	p.state.History = append(p.state.History, Promotion{
		Version: promote.Version, Digest: promote.Digest, Operator: promote.Operator,
		RequestID: command.RequestID, Issued: command.Issued,
	})
	if len(p.state.History) > historyLimit {
		p.state.History = slices.Delete(p.state.History, 0, 1)
	}
	return Outcome{Result: ResultAccepted, Version: promote.Version}
}

// conflictOutcome names the promotion of the version, or the current one when the history no longer has the version.
func (p *Promoter) conflictOutcome(version uint64) Outcome {
	winner := p.currentPromotion()
	for _, each := range p.state.History {
		if each.Version == version {
			winner = each
		}
	}
	reason := fmt.Sprintf("version %d was promoted by %s", winner.Version, winner.Operator)
	return Outcome{Result: ResultConflict, Reason: reason, Version: p.Version(), Winner: &winner}
}
