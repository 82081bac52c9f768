package main

import (
	"context"
	"net/http"

	"sequoiaspread.example/sequoia/classifier"
	"sequoiaspread.example/sequoia/verifier"
)

// bufferedResponse is a complete response of an upstream.
type bufferedResponse struct {
	status      int
	contentType string
	body        []byte
}

// serveChat serves a chat request, streamed or buffered.
func (g *gateway) serveChat(w http.ResponseWriter, r *http.Request) {
	req, err := g.readChat(w, r)
	if err != nil {
		g.writeFailure(w, r, req, err)
		return
	}
	ctx, end := g.trackRequest(r.Context(), req)
	defer end()
	a := g.newAttempts(req)
	defer a.release()
	if a.body, err = req.bodyWithPriority(); err != nil {
		g.writeFailure(w, r, req, err)
		return
	}
	if req.stream {
		g.streamChat(ctx, w, r, a)
		return
	}
	buffered, err := a.fetch(ctx)
	if err != nil {
		g.writeFailure(w, r, req, err)
		return
	}
	g.writeResponse(w, a, buffered)
}

// fetch makes attempts until one returns a complete response.
func (a *attempts) fetch(ctx context.Context) (bufferedResponse, error) {
	for {
		buffered, err := a.fetchOnce(ctx)
		if err == nil {
			return buffered, nil
		}
		a.recordFailure(err)
		if !a.awaitRetry(ctx) {
			return bufferedResponse{}, a.worstFailure
		}
	}
}

func (a *attempts) fetchOnce(ctx context.Context) (bufferedResponse, error) {
	c, err := a.start(ctx, 0)
	if err != nil {
		return bufferedResponse{}, err
	}
	defer c.close()
	return readResponse(c)
}

// readResponse reads a complete response. One that is truncated or too large is a failure.
func readResponse(c *call) (bufferedResponse, error) {
	body, err := verifier.ReadBody(c, maxResponseBytes)
	if err != nil {
		f := c.fail("read response", err)
		if verifier.IsKind(err, verifier.KindBodyTooLarge) {
			f.kind = classifier.CauseAnswerTooLarge
		}
		return bufferedResponse{}, f
	}
	return bufferedResponse{status: c.response.StatusCode, contentType: c.response.Header.Get("Content-Type"), body: body}, nil
}

// writeResponse passes a complete response on to the caller and records its completion.
func (g *gateway) writeResponse(w http.ResponseWriter, a *attempts, buffered bufferedResponse) {
	a.recordCompletion(len(buffered.body) / bytesPerToken)
	writeBuffered(w, buffered)
}

func writeBuffered(w http.ResponseWriter, buffered bufferedResponse) {
	if buffered.contentType != "" {
		w.Header().Set("Content-Type", buffered.contentType)
	}
	_ = http.NewResponseController(w).SetWriteDeadline(writeDeadline())
	w.WriteHeader(buffered.status)
	_, _ = w.Write(buffered.body)
}

// writeFailure responds with the problem document of a failure.
func (g *gateway) writeFailure(w http.ResponseWriter, r *http.Request, req *callerRequest, err error) {
	f := asFailure(err)
	keyStatus := classifier.KeyStatusUnkeyed
	if req != nil {
		keyStatus = req.keyStatus
		g.publish(req, phaseEnded, target{}, f)
	}
	_ = http.NewResponseController(w).SetWriteDeadline(writeDeadline())
	writeProblem(w, f, requestIDOf(r.Context()), keyStatus)
}
