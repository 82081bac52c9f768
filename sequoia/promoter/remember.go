package promoter

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"
)

// actionDigestBytes are enough to tell requests apart that share a request id by mistake.
const actionDigestBytes = 16

// storedOutcome is the outcome that resends of a request get.
type storedOutcome struct {
	RequestID string        `json:"request-id"`
	Digest    string        `json:"digest"`
	Stored    time.Duration `json:"stored"`
	Outcome   Outcome       `json:"outcome"`
}

// replay returns the first outcome, or a refusal when the request id came with another action.
func (s storedOutcome) replay(command Command) Outcome {
	if s.Digest != actionDigest(command) {
		return Outcome{Result: ResultRequestIDReused, Reason: "the request id was used for another request"}
	}
	return s.Outcome
}

func (p *Promoter) storeOutcome(command Command, outcome Outcome) {
	stored := storedOutcome{RequestID: command.RequestID, Digest: actionDigest(command), Stored: p.state.Clock, Outcome: outcome}
	p.known[stored.RequestID] = stored
	p.state.Outcomes = append(p.state.Outcomes, stored)
	if len(p.state.Outcomes) > p.config.OutcomeLimit {
		p.dropOutcomes(1)
	}
}

// expireOutcomes drops outcomes past their retention; they are in the order in which they were stored.
func (p *Promoter) expireOutcomes() {
	expired := 0
	for _, each := range p.state.Outcomes {
		if p.state.Clock-each.Stored < p.config.OutcomeRetention {
			break
		}
		expired++
	}
	p.dropOutcomes(expired)
}

func (p *Promoter) dropOutcomes(count int) {
	for _, each := range p.state.Outcomes[:count] {
		delete(p.known, each.RequestID)
	}
	p.state.Outcomes = p.state.Outcomes[count:]
}

// actionDigest identifies what a command asks for, without the times that differ between resends.
func actionDigest(command Command) string {
	command.Issued = time.Time{}
	command.Elapsed = 0
	data, err := json.Marshal(command)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:actionDigestBytes])
}
