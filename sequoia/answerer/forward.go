package answerer

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/forwarder"
)

// owner returns the entry VM of this region that a long prefill should go through.
func (j *job) owner() (fleetserver.EntryVM, bool) {
	if j.origin == fromSameRegion || j.sentToOwner || j.sends > 0 {
		return fleetserver.EntryVM{}, false
	}
	return j.a.owner(j.dispatchRequest())
}

// sendToOwner forwards a long prefill to the entry VM that serialises those of its upstream.
func (j *job) sendToOwner(ctx context.Context, owner fleetserver.EntryVM) bool {
	j.sentToOwner = true
	return j.forwardTo(ctx, target{name: owner.Name, region: owner.Region, address: owner.PeerAddress}, decisionOwner)
}

// senderVM returns an entry VM of this region that may send the request to an upstream with a rate limit, if this VM has
// no usable upstream.
func (j *job) senderVM(reason dispatcher.Reason) (fleetserver.EntryVM, bool) {
	if j.origin == fromSameRegion || reason != dispatcher.ReasonNoUsableUpstream || j.senderSends >= maxSenderSends {
		return fleetserver.EntryVM{}, false
	}
	return j.a.sender(j.dispatchRequest(), j.excluded)
}

// sendToSender forwards the request to an entry VM that may send to an upstream with a rate limit.
func (j *job) sendToSender(ctx context.Context, sender fleetserver.EntryVM) bool {
	j.senderSends++
	return j.forwardTo(ctx, target{name: sender.Name, region: sender.Region, address: sender.PeerAddress}, decisionSender)
}

// sendToHomeRegion forwards a request that may not be processed in this region.
func (j *job) sendToHomeRegion(ctx context.Context) bool {
	remote, ok := j.remoteTarget()
	if !ok {
		j.giveUp(ctx, "no-home-reachable")
		return false
	}
	return j.sendToRegion(ctx, remote, decisionHomeRegion)
}

// remoteTarget returns the best other region; requests that were forwarded here are not forwarded again.
func (j *job) remoteTarget() (target, bool) {
	if j.forwarded() {
		return target{}, false
	}
	return j.a.selectRemote(j.allowsRegion, j.service, j.tried)
}

// spilloverTarget returns another region for the fraction of requests that spills over while the pressure there is
// lower.
func (j *job) spilloverTarget() (target, bool) {
	if j.sends > 0 || j.forwarded() || j.pin.Set {
		return target{}, false
	}
	remote, ok := j.remoteTarget()
	if !ok {
		return target{}, false
	}
	return remote, j.a.shouldSpill(j.service, remote.pressure)
}

// sendToRegion forwards the request to an entry VM of another region, which chooses the upstream.
func (j *job) sendToRegion(ctx context.Context, remote target, kind decision) bool {
	j.tried.vms = append(j.tried.vms, remote.name)
	j.a.reachability.recordProbe(time.Now(), remote.region, *j.a.otherRegionVMs.Load())
	return j.forwardTo(ctx, remote, kind)
}

// forwardTo sends the request to another entry VM.
func (j *job) forwardTo(ctx context.Context, remote target, kind decision) bool {
	j.recordSend(kind, remote.region, remote.name, remote.address, dispatcher.Upstream{})
	header := j.requestHeader()
	j.a.config.HeaderCodec.PrepareRequest(header, SendOptions{
		Remaining: time.Until(j.deadline), Rank: j.rank(), LastEvent: j.resumeFrom(), ReplaceIdentity: j.document.table.HasOrganisations(),
	})
	if j.organisation != nil {
		header.Set(headerOrganisation, j.organisation.Name)
	}
	allotted := max(1, j.attemptsLeft)
	header.Set(headerAttempts, strconv.Itoa(allotted))
	header.Set(headerService, j.service)
	header.Set(headerDocument, j.document.header())
	header.Set(headerReceiver, remote.name)
	setPin(header, j.pin)
	if kind == decisionOwner || kind == decisionSender {
		header.Set(headerOwner, "1")
	}
	triedAt := time.Now()
	j.a.reachability.recordAttempt(triedAt, remote.name)
	response, err := j.a.config.Client.Do(ctx, remote.address, j.exchange(header))
	// Without a response, the other VM must be assumed to have used all attempts.
	j.attemptsLeft = 0
	if err != nil {
		if notSent(err) {
			j.attemptsLeft = allotted
			j.recordUnreachable(ctx, remote, triedAt, err)
		} else {
			j.arrivals++
		}
		_, again := j.handleSendError(ctx, err)
		return again
	}
	if response.Header.Get(headerAttempts) == "" {
		j.logSendFailure(newError("check response", KindReplaced, "the response does not come from an entry VM"), "replaced")
	}
	j.a.reachability.recordSuccess(triedAt, remote)
	j.arrivals += parseArrivals(response.Header)
	if remaining, err := strconv.Atoi(response.Header.Get(headerAttempts)); err == nil {
		j.attemptsLeft = min(remaining, allotted)
	}
	if response.Header.Get(headerOutcome) == outcomeNotRun {
		defer response.Close()
		// A VM that refuses before it has read the number of attempts states none.
		j.attemptsLeft = allotted
		j.recordRefusal(remote, kind, dispatcher.Reason(response.Header.Get(headerReason)))
		response.Discard()
		return true
	}
	j.mayHaveRun = true
	j.answeredBy = parsePin(response.Header)
	info := j.a.config.HeaderCodec.ParseResponse(response.StatusCode, response.Header)
	_, again := j.relay(ctx, response, info, func() {})
	return again
}

// recordUnreachable records that a VM accepted no connection. After one that was refused at once, another VM of its region
// may be tried. A request that ended before the connection was established, or an error of this machine, says nothing about
// the VM.
func (j *job) recordUnreachable(ctx context.Context, remote target, triedAt time.Time, err error) {
	now := time.Now()
	if forwarder.PeerAnswered(err) {
		j.a.reachability.recordRefusal(now, triedAt, remote)
		return
	}
	if ctx.Err() != nil {
		return
	}
	j.tried.regions = append(j.tried.regions, remote.region)
	if forwarder.PeerSilent(err) {
		j.a.reachability.recordFailure(now, triedAt, remote)
		j.a.checkPartition(remote.region)
	}
}

// setPin sets the header field of a version; the version is text of the list and may hold any bytes.
func setPin(header http.Header, pin dispatcher.VersionPin) {
	if pin.Set {
		header.Set(headerVersion, url.QueryEscape(pin.Version))
	}
}

// parsePin reads the header field of a version. Without a valid one the version is not known.
func parsePin(header http.Header) dispatcher.VersionPin {
	values, ok := header[headerVersion]
	if !ok || len(values) != 1 {
		return dispatcher.VersionPin{}
	}
	version, err := url.QueryUnescape(values[0])
	if err != nil {
		return dispatcher.VersionPin{}
	}
	return dispatcher.PinTo(version)
}

// recordRefusal learns from a VM that refused the request, so that the next ones are sent elsewhere.
func (j *job) recordRefusal(remote target, kind decision, reason dispatcher.Reason) {
	if !concernsVMOnly(string(reason)) {
		j.tried.regions = append(j.tried.regions, remote.region)
	}
	if kind == decisionSender && concernsOrganisation(string(reason)) {
		j.excludedSenders = append(j.excludedSenders, remote.name)
		return
	}
	if kind == decisionSender {
		j.a.recordBusySender(remote.name)
		return
	}
	switch reason {
	case dispatcher.ReasonNoUpstream, dispatcher.ReasonNoUsableUpstream:
		if remote.region != j.a.config.Self.Region {
			j.a.regionLoads.recordRefusal(time.Now(), remote.region, j.service)
		}
	default:
		// Other reasons concern that VM or this request only: what is too long to be answered in time may find all upstreams
		// full.
	}
}

// concernsVMOnly reports whether a refusal says nothing about the other VMs of its region, of which one may be tried.
func concernsVMOnly(reason string) bool {
	switch reason {
	case causeStopping, causeNoDocument, causeNoMemory, causeNoOrganisation, string(dispatcher.ReasonNewVersion):
		return true
	default:
		return false
	}
}

// concernsOrganisation reports whether a refusal says nothing about the requests of other organisations.
func concernsOrganisation(reason string) bool {
	return reason == causeNoOrganisation || reason == causeNoCommonHome
}

// parseArrivals returns how often another VM reached an upstream according to its response; a response without the
// count means once.
func parseArrivals(header http.Header) int {
	arrivals, err := strconv.Atoi(header.Get(headerArrivals))
	if err != nil {
		return 1
	}
	return arrivals
}
