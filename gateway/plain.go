package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/url"
	"path"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"sequoiaspread.example/sequoia/classifier"
	"sequoiaspread.example/sequoia/recorder"
	"sequoiaspread.example/sequoia/restrictor"
)

const maxKeyLength = 256

// servePlain serves a call of a plain service.
func (g *gateway) servePlain(w http.ResponseWriter, r *http.Request) {
	req, err := g.readPlain(w, r)
	if err != nil {
		g.writeFailure(w, r, req, err)
		return
	}
	if !req.idempotent {
		g.serveOnce(w, r, req)
		return
	}
	ctx, end := g.trackRequest(r.Context(), req)
	defer end()
	g.serveBuffered(ctx, w, r, g.newAttempts(req))
}

func (g *gateway) serveBuffered(ctx context.Context, w http.ResponseWriter, r *http.Request, a *attempts) {
	defer a.release()
	buffered, err := a.fetch(ctx)
	if err != nil {
		g.writeFailure(w, r, a.request, err)
		return
	}
	g.writeResponse(w, a, buffered)
}

// readPlain reads a call of a plain service. It cleans the path first, so that an operation cannot be called under a
// different path to which other rules apply.
func (g *gateway) readPlain(w http.ResponseWriter, r *http.Request) (*callerRequest, error) {
	req, err := g.openRequest(r)
	if err != nil {
		return req, err
	}
	service, ok := req.env.doc.Service(chi.URLParam(r, "service"))
	if pool, found := req.env.doc.Pool(service.Pool); !ok || !found || pool.Kind != "plain" {
		return req, newRefusal("find service", classifier.CauseUnknownService, "")
	}
	req.service = service
	if strings.Contains(strings.ToLower(r.URL.EscapedPath()), "%2f") {
		return req, newRefusal("read path", classifier.CauseInvalidRequest, "an encoded slash is not allowed in a path")
	}
	req.path = path.Clean("/" + strings.TrimPrefix(r.URL.Path, servicesPath+service.Name))
	req.idempotent = service.Operation(req.method, req.path).Idempotent
	if err := req.checkIdempotencyKey(); err != nil {
		return req, err
	}
	if err := g.assignService(req, r, ""); err != nil {
		return req, err
	}
	if req.body, err = readBody(w, r); err != nil {
		return req, err
	}
	req.promptTokens = max(1, len(req.body)/bytesPerToken)
	return req, nil
}

func (req *callerRequest) checkIdempotencyKey() error {
	switch {
	case req.idempotent:
		return nil
	case req.idempotencyKey == "":
		return newRefusal("check idempotency key", classifier.CauseKeyMissing, "")
	case len(req.idempotencyKey) > maxKeyLength || strings.ContainsFunc(req.idempotencyKey, func(c rune) bool { return c <= ' ' || c > '~' }):
		return newRefusal("check idempotency key", classifier.CauseKeyInvalid, "a key has 1 to 256 visible ASCII characters")
	}
	req.keyStatus = classifier.KeyStatusUnchecked
	return nil
}

// forwardPath returns the path of the request at another gateway.
func (req *callerRequest) forwardPath() string {
	if req.path == chatPath {
		return req.path
	}
	return servicesPath + req.service.Name + req.path
}

// requestDigest identifies the request that an idempotency key was used for.
func (req *callerRequest) requestDigest() string {
	hash := sha256.New()
	for _, part := range []string{req.method, req.path, req.query, url.QueryEscape(req.contentType)} {
		_, _ = hash.Write([]byte(part + "\n"))
	}
	_, _ = hash.Write(req.body)
	return hex.EncodeToString(hash.Sum(nil))
}

// homeZone returns the availability zone whose record group is responsible for an idempotency key: the zone named by a
// session key, otherwise the home zone of the organisation. It does not depend on the availability zones in the
// document, so that a change of the document cannot move a key to another record group.
func (req *callerRequest) homeZone() string {
	if zone, ok := recorder.SessionKeyZone(req.idempotencyKey); ok {
		return zone
	}
	return req.organisation.HomeZone
}

// serveOnce runs a non-idempotent call at most once: it requests a permit from the record group, sends the call exactly
// once and records the result. The call continues if the caller disconnects, so that a retry gets the response. A call
// that no local upstream can take is forwarded before a permit is requested, because a permit cannot be transferred.
func (g *gateway) serveOnce(w http.ResponseWriter, r *http.Request, req *callerRequest) {
	ctx, end := g.trackRequest(context.WithoutCancel(r.Context()), req)
	defer end()
	if zone, forward := g.scheduler.forwardZone(req); forward {
		a := g.newAttempts(req)
		a.admission = &admission{forwardZone: zone}
		a.forwardOnly = true
		g.serveBuffered(ctx, w, r, a)
		return
	}
	reply, err := g.beginRecord(ctx, req)
	if err != nil {
		g.writeFailure(w, r, req, err)
		return
	}
	if reply.Outcome == recorder.OutcomeReplay {
		g.replay(w, r, req, reply.Answer)
		return
	}
	req.keyStatus = classifier.KeyStatusGranted
	req.localOnly = true
	g.serveGranted(ctx, w, r, g.newAttempts(req), reply.Permit)
}

// replay returns the recorded response of the call. If the response was too large to record, it returns an error saying
// that the call ran, never an empty response.
func (g *gateway) replay(w http.ResponseWriter, r *http.Request, req *callerRequest, recorded recorder.Response) {
	if recorded.Omitted {
		g.writeFailure(w, r, req, newRefusal("replay response", classifier.CauseAnswerTooLarge, "the call ran; its answer was too large to be kept"))
		return
	}
	g.publish(req, phaseEnded, target{}, nil)
	writeBuffered(w, bufferedResponse{status: recorded.Status, contentType: recorded.ContentType, body: recorded.Body})
}

// serveGranted sends a call for which this gateway holds the permit. Only attempts that were not run are retried.
func (g *gateway) serveGranted(ctx context.Context, w http.ResponseWriter, r *http.Request, a *attempts, permit recorder.Permit) {
	defer a.release()
	buffered, err := a.fetch(ctx)
	if err != nil {
		f := asFailure(err)
		g.endRecord(a.request, permitResult(permit, f))
		g.writeFailure(w, r, a.request, f)
		return
	}
	recorded := recorder.Response{Status: buffered.status, ContentType: buffered.contentType, Body: buffered.body}
	g.endRecord(a.request, permit.Finish(recorder.ResultAnswered, recorded))
	g.writeResponse(w, a, buffered)
}

// permitResult releases the permit only if the call certainly did not run: no byte of it was sent, or the upstream
// rejected it.
func permitResult(permit recorder.Permit, f *failure) recorder.Request {
	if f.outcome(classifier.KeyStatusGranted) == classifier.OutcomeNotRun {
		return permit.Release()
	}
	return permit.Finish(recorder.ResultUnknown, recorder.Response{})
}

// beginRecord requests the permit. The error says why the call must not be sent.
func (g *gateway) beginRecord(ctx context.Context, req *callerRequest) (recorder.Reply, error) {
	home := req.homeZone()
	if err := g.checkResidency(req, restrictor.PurposeRecord, home); err != nil {
		return recorder.Reply{}, err
	}
	begin := recorder.Begin{
		Zone: home, Organisation: req.organisation.Name, Key: req.idempotencyKey, Digest: req.requestDigest(), Service: req.service.Name, Attempt: uuid.NewString(),
	}
	reply, err := g.records.begin(ctx, begin)
	if err != nil || reply.Outcome == recorder.OutcomeUnavailable {
		g.endRecord(req, begin.Release())
	}
	if err != nil {
		return reply, newFailure("begin record", classifier.CauseRecordsUnreachable, err)
	}
	switch reply.Outcome {
	case recorder.OutcomeGranted, recorder.OutcomeReplay:
		return reply, nil
	default:
		return reply, recordReplyFailure(reply)
	}
}

// recordCauses maps the replies after which a call must not be sent.
var recordCauses = map[recorder.Outcome]classifier.Cause{
	recorder.OutcomeConflict:    classifier.CauseKeyConflict,
	recorder.OutcomePending:     classifier.CauseKeyPending,
	recorder.OutcomeUnknown:     classifier.CauseKeyUnknown,
	recorder.OutcomeExpired:     classifier.CauseKeyExpired,
	recorder.OutcomeRefused:     classifier.CauseKeyRefused,
	recorder.OutcomeUnavailable: classifier.CauseRecordsUnreachable,
	recorder.OutcomeNotPrimary:  classifier.CauseRecordsUnreachable,
}

func recordReplyFailure(reply recorder.Reply) error {
	cause, ok := recordCauses[reply.Outcome]
	if !ok {
		cause = classifier.CauseInternal
	}
	f := newRefusal("begin record", cause, reply.Hint)
	f.retryAfter = reply.Retry
	return f
}

// endRecord retries reporting the result of a call until the record group has it or the retries are exhausted. In the
// latter case the record group marks the record as unknown by itself.
func (g *gateway) endRecord(req *callerRequest, request recorder.Request) {
	if g.tryEndRecord(request) {
		return
	}
	g.background.Go(func() {
		for range recordEndRetries {
			if !g.sleep(recordEndRetryInterval) || g.tryEndRecord(request) {
				return
			}
		}
		g.log.WithField("request-id", req.id).Warn("result of a call could not be recorded")
	})
}

const (
	recordEndRetries       = 20
	recordEndRetryInterval = 500 * time.Millisecond
)

func (g *gateway) tryEndRecord(request recorder.Request) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	reply, err := g.records.end(ctx, request)
	return err == nil && (reply.Outcome == recorder.OutcomeDone || reply.Outcome == recorder.OutcomeNotHolder)
}
