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

// servePlain answers a call of a plain service.
func (g *gateway) servePlain(w http.ResponseWriter, r *http.Request) {
	j, err := g.readPlain(w, r)
	if err != nil {
		g.answerFailure(w, r, j, err)
		return
	}
	if !j.idempotent {
		g.serveOnce(w, r, j)
		return
	}
	ctx, end := g.begin(r.Context(), j)
	defer end()
	g.serveWhole(ctx, w, r, g.newAttempts(j))
}

func (g *gateway) serveWhole(ctx context.Context, w http.ResponseWriter, r *http.Request, a *attempts) {
	defer a.release()
	whole, err := a.whole(ctx)
	if err != nil {
		g.answerFailure(w, r, a.job, err)
		return
	}
	g.writeAnswer(w, a, whole)
}

// readPlain reads a call of a plain service. The path is cleaned first, so that one operation cannot be called under a
// second name with other rules.
func (g *gateway) readPlain(w http.ResponseWriter, r *http.Request) (*job, error) {
	j, err := g.open(r)
	if err != nil {
		return j, err
	}
	service, ok := j.env.doc.Service(chi.URLParam(r, "service"))
	if pool, found := j.env.doc.Pool(service.Pool); !ok || !found || pool.Kind != "plain" {
		return j, refuse("find service", classifier.CauseUnknownService, "")
	}
	j.service = service
	if strings.Contains(strings.ToLower(r.URL.EscapedPath()), "%2f") {
		return j, refuse("read path", classifier.CauseInvalidRequest, "an encoded slash is not allowed in a path")
	}
	j.path = path.Clean("/" + strings.TrimPrefix(r.URL.Path, servicesPath+service.Name))
	j.idempotent = service.Operation(j.method, j.path).Idempotent
	if err := j.checkKey(); err != nil {
		return j, err
	}
	if err := g.assign(j, r, ""); err != nil {
		return j, err
	}
	if j.body, err = readBody(w, r); err != nil {
		return j, err
	}
	j.promptTokens = max(1, len(j.body)/bytesPerToken)
	return j, nil
}

func (j *job) checkKey() error {
	switch {
	case j.idempotent:
		return nil
	case j.key == "":
		return refuse("check key", classifier.CauseKeyMissing, "")
	case len(j.key) > maxKeyLength || strings.ContainsFunc(j.key, func(c rune) bool { return c <= ' ' || c > '~' }):
		return refuse("check key", classifier.CauseKeyInvalid, "a key has 1 to 256 visible ASCII characters")
	}
	j.standing = classifier.KeyStatusUnchecked
	return nil
}

// forwardPath returns the path under which another gateway offers what the job asks for.
func (j *job) forwardPath() string {
	if j.path == chatPath {
		return j.path
	}
	return servicesPath + j.service.Name + j.path
}

// digest identifies what a key was used for.
func (j *job) digest() string {
	hash := sha256.New()
	for _, part := range []string{j.method, j.path, j.query, url.QueryEscape(j.contentType)} {
		_, _ = hash.Write([]byte(part + "\n"))
	}
	_, _ = hash.Write(j.body)
	return hex.EncodeToString(hash.Sum(nil))
}

// homeZone returns the availability zone whose record group decides about a key: the one that a session key names,
// else the home of the organisation. It does not depend on which availability zones the document lists, so that a change
// of the document cannot send a key to another record group.
func (j *job) homeZone() string {
	if zone, ok := recorder.SessionKeyZone(j.key); ok {
		return zone
	}
	return j.organisation.HomeZone
}

// serveOnce runs a non-idempotent call at most once: it asks the record group for the permit, sends the call exactly
// once, and records the result. The caller leaving does not end it, so that a resend gets the answer. A call that no
// upstream here can take is forwarded before a permit is asked for, because a permit cannot be passed on.
func (g *gateway) serveOnce(w http.ResponseWriter, r *http.Request, j *job) {
	ctx, end := g.begin(context.WithoutCancel(r.Context()), j)
	defer end()
	if zone, forward := g.scheduler.elsewhere(j); forward {
		a := g.newAttempts(j)
		a.ticket = &ticket{forward: zone}
		a.forwardOnly = true
		g.serveWhole(ctx, w, r, a)
		return
	}
	reply, err := g.beginRecord(ctx, j)
	if err != nil {
		g.answerFailure(w, r, j, err)
		return
	}
	if reply.Outcome == recorder.OutcomeReplay {
		g.replay(w, r, j, reply.Answer)
		return
	}
	j.standing = classifier.KeyStatusGranted
	j.localOnly = true
	g.serveGranted(ctx, w, r, g.newAttempts(j), reply.Permit)
}

// replay answers with the recorded answer of the call. An answer that was too large to keep is an error that says that
// the call ran, never an empty answer.
func (g *gateway) replay(w http.ResponseWriter, r *http.Request, j *job, kept recorder.Response) {
	if kept.Omitted {
		g.answerFailure(w, r, j, refuse("replay answer", classifier.CauseAnswerTooLarge, "the call ran; its answer was too large to be kept"))
		return
	}
	g.publish(j, phaseEnded, target{}, nil)
	writeWhole(w, answer{status: kept.Status, contentType: kept.ContentType, body: kept.Body})
}

// serveGranted sends a call for which this gateway holds the permit; only attempts that were not run are repeated.
func (g *gateway) serveGranted(ctx context.Context, w http.ResponseWriter, r *http.Request, a *attempts, permit recorder.Permit) {
	defer a.release()
	whole, err := a.whole(ctx)
	if err != nil {
		f := asFailure(err)
		g.endRecord(a.job, recordOf(permit, f))
		g.answerFailure(w, r, a.job, f)
		return
	}
	kept := recorder.Response{Status: whole.status, ContentType: whole.contentType, Body: whole.body}
	g.endRecord(a.job, permit.Finish(recorder.ResultAnswered, kept))
	g.writeAnswer(w, a, whole)
}

// recordOf releases the permit only when no byte of the call was sent.
func recordOf(permit recorder.Permit, f *failure) recorder.Request {
	if f.outcome(classifier.KeyStatusGranted) == classifier.OutcomeNotRun {
		return permit.Release()
	}
	return permit.Finish(recorder.ResultUnknown, recorder.Response{})
}

// beginRecord asks for the permit. The error says why the call is not sent.
func (g *gateway) beginRecord(ctx context.Context, j *job) (recorder.Reply, error) {
	home := j.homeZone()
	if err := g.allow(j, restrictor.PurposeRecord, home); err != nil {
		return recorder.Reply{}, err
	}
	begin := recorder.Begin{
		Zone: home, Organisation: j.organisation.Name, Key: j.key, Digest: j.digest(), Service: j.service.Name, Attempt: uuid.NewString(),
	}
	reply, err := g.records.begin(ctx, begin)
	if err != nil || reply.Outcome == recorder.OutcomeUnavailable {
		g.endRecord(j, begin.Release())
	}
	if err != nil {
		return reply, newFailure("begin record", classifier.CauseRecordsUnreachable, err)
	}
	switch reply.Outcome {
	case recorder.OutcomeGranted, recorder.OutcomeReplay:
		return reply, nil
	default:
		return reply, refusedRecord(reply)
	}
}

// recordCauses maps the replies that do not let a call be sent.
var recordCauses = map[recorder.Outcome]classifier.Cause{
	recorder.OutcomeConflict:    classifier.CauseKeyConflict,
	recorder.OutcomePending:     classifier.CauseKeyPending,
	recorder.OutcomeUnknown:     classifier.CauseKeyUnknown,
	recorder.OutcomeExpired:     classifier.CauseKeyExpired,
	recorder.OutcomeRefused:     classifier.CauseKeyRefused,
	recorder.OutcomeUnavailable: classifier.CauseRecordsUnreachable,
	recorder.OutcomeNotPrimary:  classifier.CauseRecordsUnreachable,
}

func refusedRecord(reply recorder.Reply) error {
	cause, ok := recordCauses[reply.Outcome]
	if !ok {
		cause = classifier.CauseInternal
	}
	f := refuse("begin record", cause, reply.Hint)
	f.retryAfter = reply.Retry
	return f
}

// endRecord reports the result of a call until the record group has it or the time for it has passed; then the record
// becomes unknown by itself.
func (g *gateway) endRecord(j *job, request recorder.Request) {
	if g.tryEndRecord(request) {
		return
	}
	g.work.Go(func() {
		for range recordResends {
			if !g.pause(recordResendInterval) || g.tryEndRecord(request) {
				return
			}
		}
		g.log.WithField("request-id", j.id).Warn("result of a call could not be recorded")
	})
}

const (
	recordResends        = 20
	recordResendInterval = 500 * time.Millisecond
)

func (g *gateway) tryEndRecord(request recorder.Request) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pollTimeout)
	defer cancel()
	reply, err := g.records.end(ctx, request)
	return err == nil && (reply.Outcome == recorder.OutcomeDone || reply.Outcome == recorder.OutcomeNotHolder)
}
