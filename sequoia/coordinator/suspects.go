package coordinator

import (
	"encoding/hex"
	"time"

	"github.com/sirupsen/logrus"

	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/isolator"
)

const (
	// evaluateInterval limits how often the evidence is evaluated, whatever the number of heartbeats.
	evaluateInterval = 50 * time.Millisecond
	// maxFindingsLogged limits the log lines of one evaluation; a crash of many upstreams concerns many parts.
	maxFindingsLogged = 32
)

// suspects holds the parts of prompts that may crash upstreams, from the reports of all entry VMs.
type suspects struct {
	logger      logrus.FieldLogger
	blamer      *isolator.Blamer
	current     []isolator.Suspicion
	evaluatedAt time.Time
}

func newSuspects(logger logrus.FieldLogger) *suspects {
	return &suspects{logger: logger, blamer: isolator.NewBlamer()}
}

func (s *suspects) record(now time.Time, heartbeat fleetserver.Heartbeat) {
	for _, crash := range heartbeat.Crashes {
		s.blamer.AddCrash(now, crash)
	}
	for _, suspicion := range heartbeat.Evidence {
		s.blamer.AddEvidence(now, suspicion)
	}
	for _, completion := range heartbeat.Completions {
		s.blamer.AddCompletion(now, completion)
	}
}

// list returns the current suspicions.
func (s *suspects) list(now time.Time) []isolator.Suspicion {
	if now.Sub(s.evaluatedAt) < evaluateInterval {
		return s.current
	}
	s.evaluatedAt = now
	current, findings := s.blamer.Suspicions(now)
	s.current = current
	for i, finding := range findings {
		if i == maxFindingsLogged {
			s.logger.WithField("left-out", len(findings)-i).Info("more parts of prompts changed their state")
			break
		}
		s.logger.WithFields(logrus.Fields{
			"part": hex.EncodeToString(finding.Part[:4]), "state": string(finding.Kind), "upstreams": finding.Upstreams,
			"moments": finding.Moments, "since-ms": finding.Since.Milliseconds(),
		}).Info("part of prompts under which upstreams crashed")
	}
	return current
}
