package answerer

import (
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"sequoiaspread.example/sequoia/dispatcher"
)

// answeredLogsPerSecond limits the log entries for answered requests. When it is used up, there are as many more for
// those with home regions that ran at an upstream, and again for those that rest on a doubtful document.
const answeredLogsPerSecond = 100

func newLineLimiter() *rate.Limiter {
	return rate.NewLimiter(answeredLogsPerSecond, answeredLogsPerSecond)
}

// decision is why a request was sent to its last target.
type decision string

const (
	decisionUpstream   decision = "own-region"
	decisionOwner      decision = "owner"
	decisionSender     decision = "sender"
	decisionSpillover  decision = "spill-over"
	decisionNoCapacity decision = "no-local-capacity"
	decisionHomeRegion decision = "home-region"
)

// lastSend is what is logged of the last send of a request.
type lastSend struct {
	decision decision
	// region is the region that the request was sent to.
	region  string
	address netip.AddrPort
	// age is the age of the document at the send; aged is false if no leader had confirmed it.
	age  time.Duration
	aged bool
	// listAge is the age of the list of upstreams at the send; listAged is false if its time is not known.
	listAge  time.Duration
	listAged bool
}

// recordSend notes the figures of a send for the log.
func (j *job) recordSend(kind decision, region, name string, address netip.AddrPort, upstream dispatcher.Upstream) {
	now := time.Now()
	j.sends++
	j.upstream = upstream
	j.outcome.upstream = name
	j.outcome.waited = now.Sub(j.arrived)
	j.outcome.send = lastSend{decision: kind, region: region, address: address}
	j.recordAge(now)
	if readAt := j.a.listReadAt.Load(); readAt != nil {
		j.outcome.send.listAge, j.outcome.send.listAged = now.Sub(*readAt), true
	}
}

func (j *job) recordAge(now time.Time) {
	j.outcome.send.age, j.outcome.send.aged = j.document.age(now)
}

func (a *Answerer) recordOutcome(j *job) {
	duration := time.Since(j.arrived)
	a.config.Metrics.observe(j, duration)
	fields := logrus.Fields{
		"request": j.info.ID, "route": j.route.Name, "service": j.service, "status": j.outcome.status,
		"sends": j.sends, "ms": duration.Milliseconds(), "upstream": j.outcome.upstream, "forwarded": j.forwarded(),
		"waited-ms": j.outcome.waited.Milliseconds(), "first-ms": j.outcome.firstEvent.Milliseconds(),
		"gap-ms": j.outcome.maxGap.Milliseconds(), "outstanding": j.outcome.choice.Outstanding,
		"uncached": j.outcome.choice.Uncached, "considered": j.outcome.choice.Candidates, "limited": j.outcome.choice.Limited, "document": j.version(),
	}
	j.addDocumentFields(fields)
	j.addSendFields(fields)
	if j.outcome.cause != "" {
		fields["cause"] = j.outcome.cause
		a.config.Logger.WithFields(fields).Info("request not answered")
		return
	}
	if !a.allowAnsweredLog(j) {
		a.config.Metrics.omittedLines.Inc()
		return
	}
	a.config.Logger.WithFields(fields).Info("request answered")
}

// addDocumentFields adds the document and the organisation that the decision rests on, and those of the VM that forwarded
// the request.
func (j *job) addDocumentFields(fields logrus.Fields) {
	if j.document != nil {
		fields["revision"] = j.document.revision
		fields["confirmed"] = j.document.confirmed
	}
	if j.outcome.send.aged {
		fields["document-age-ms"] = j.outcome.send.age.Milliseconds()
	}
	if len(j.route.HomeRegions) > 0 {
		fields["homes"] = j.route.HomeRegions
	}
	if j.organisation != nil {
		fields["organisation"] = j.organisation.Name
		if len(j.organisation.HomeRegions) > 0 {
			fields["organisation-homes"] = j.organisation.HomeRegions
		}
	}
	if j.sender.known {
		fields["sender-revision"] = j.sender.revision
		fields["sender-document"] = j.sender.version
	}
	if j.misdelivered() {
		fields["meant-for"] = j.sender.receiver
	}
}

// addSendFields adds why and where the request was sent last.
func (j *job) addSendFields(fields logrus.Fields) {
	if j.sends == 0 {
		return
	}
	fields["decision"] = j.outcome.send.decision
	fields["region"] = j.outcome.send.region
	if j.info.LastEvent != "" {
		fields["taken-up-from"] = j.info.LastEvent
		fields["taken-up-attempt"] = j.info.Resumes
	}
	if j.pin.Set {
		fields["stream-version"] = j.pin.Version
	}
	if j.stream.lastID != "" && j.sends > 1 {
		fields["last-event"] = j.stream.lastID
	}
	if j.upstream.ID != "" {
		fields["upstream-zone"] = j.upstream.Zone
		fields["upstream-version"] = j.upstream.Version
		if j.outcome.send.listAged {
			fields["list-age-ms"] = j.outcome.send.listAge.Milliseconds()
		}
	}
}

// allowAnsweredLog reports whether the line of an answered request is written.
func (a *Answerer) allowAnsweredLog(j *job) bool {
	if a.answeredLog.Allow() {
		return true
	}
	if j.doubtful() {
		return a.doubtfulLog.Allow()
	}
	return j.hasHomes() && j.upstream.ID != "" && a.homeRouteLog.Allow()
}

// doubtful reports whether the region of a request may have been chosen by a document that is not the newest, or whether
// the request reached the wrong VM.
func (j *job) doubtful() bool {
	if j.document == nil {
		return false
	}
	send := j.outcome.send
	return !send.aged || send.age > staleDocumentAge || j.misdelivered() ||
		j.sender.known && j.sender.revision != j.document.revision
}

// misdelivered reports whether the request was meant for another VM, as when its address changed hands.
func (j *job) misdelivered() bool {
	return j.sender.receiver != "" && j.sender.receiver != j.a.config.Self.Name
}

// version returns the version of the document that was current when the request arrived.
func (j *job) version() uint64 {
	if j.document == nil {
		return 0
	}
	return j.document.table.Version
}

func (j *job) logSendFailure(err error, outcome string) {
	send := j.outcome.send
	j.a.config.Logger.WithFields(logrus.Fields{
		"request": j.info.ID, "upstream": j.outcome.upstream, "outcome": outcome, "address": send.address.String(),
		"decision": send.decision, "region": send.region, "upstream-version": j.upstream.Version, "last-event": j.stream.lastID,
	}).WithError(err).Info("send failed")
}
