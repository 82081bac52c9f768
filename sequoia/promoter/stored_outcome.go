package promoter

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"
)

// actionDigestBytes is long enough to distinguish requests that share a request id by mistake.
const actionDigestBytes = 16

// storedOutcome is the outcome that is returned to resends of a request.
type storedOutcome struct {
	RequestID string        `json:"request-id"`
	Digest    string        `json:"digest"`
	StoredAt  time.Duration `json:"stored"`
	Outcome   Outcome       `json:"outcome"`
}

// replay returns the stored outcome, or a refusal when the request id was used with a different action.
func (s storedOutcome) replay(command Command) Outcome {
	if s.Digest != actionDigest(command) {
		return Outcome{Result: ResultRequestIDReused, Reason: "the request id was used for another request"}
	}
	return s.Outcome
}

func (p *Promoter) storeOutcome(command Command, outcome Outcome) {
	stored := storedOutcome{RequestID: command.RequestID, Digest: actionDigest(command), StoredAt: p.state.Clock, Outcome: outcome}
	p.outcomesByRequestID[stored.RequestID] = stored
	p.state.Outcomes = append(p.state.Outcomes, stored)
	if len(p.state.Outcomes) > p.config.OutcomeLimit {
		p.dropOutcomes(1)
	}
}

// expireOutcomes drops outcomes past their retention; they are ordered by the time at which they were stored.
func (p *Promoter) expireOutcomes() {
	expired := 0
	for _, each := range p.state.Outcomes {
		if p.state.Clock-each.StoredAt < p.config.OutcomeRetention {
			break
		}
		expired++
	}
	p.dropOutcomes(expired)
}

func (p *Promoter) dropOutcomes(count int) {
	for _, each := range p.state.Outcomes[:count] {
		delete(p.outcomesByRequestID, each.RequestID)
	}
	p.state.Outcomes = p.state.Outcomes[count:]
}

// actionDigest returns a digest of a command without the times, which differ between resends.
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
