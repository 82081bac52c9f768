package main

import (
	"context"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
	"sequoiaspread.example/sequoia/classifier"
)

// answer is a whole answer of an upstream.
type answer struct {
	status      int
	contentType string
	body        []byte
}

// serveChat answers a chat request, as a stream or as a whole.
func (g *gateway) serveChat(w http.ResponseWriter, r *http.Request) {
	j, err := g.readChat(w, r)
	if err != nil {
		g.answerFailure(w, r, j, err)
		return
	}
	ctx, end := g.begin(r.Context(), j)
	defer end()
	a := g.newAttempts(j)
	defer a.release()
	if a.body, err = j.prioritise(); err != nil {
		g.answerFailure(w, r, j, err)
		return
	}
	if j.stream {
		g.streamChat(ctx, w, r, a)
		return
	}
	whole, err := a.whole(ctx)
	if err != nil {
		g.answerFailure(w, r, j, err)
		return
	}
	g.writeAnswer(w, a, whole)
}

// whole makes attempts until one gives a whole answer.
func (a *attempts) whole(ctx context.Context) (answer, error) {
	for {
		whole, err := a.wholeAttempt(ctx)
		if err == nil {
			return whole, nil
		}
		a.failed(err)
		if !a.again(ctx) {
			return answer{}, a.worst
		}
	}
}

func (a *attempts) wholeAttempt(ctx context.Context) (answer, error) {
	c, err := a.start(ctx, 0)
	if err != nil {
		return answer{}, err
	}
	defer c.close()
	return readAnswer(c)
}

// readAnswer reads a whole answer; one that ends early or is too large is a failure.
func readAnswer(c *call) (answer, error) {
	body, err := io.ReadAll(io.LimitReader(c, maxAnswerBytes+1))
	if err != nil {
		return answer{}, c.fail("read answer", err)
	}
	if len(body) > maxAnswerBytes {
		f := c.fail("read answer", eris.New("answer is too large"))
		f.kind = classifier.CauseAnswerTooLarge
		return answer{}, f
	}
	return answer{status: c.response.StatusCode, contentType: c.response.Header.Get("Content-Type"), body: body}, nil
}

// writeAnswer passes a whole answer to the caller.
func (g *gateway) writeAnswer(w http.ResponseWriter, a *attempts, whole answer) {
	a.finished(len(whole.body) / bytesPerToken)
	writeWhole(w, whole)
}

func writeWhole(w http.ResponseWriter, whole answer) {
	if whole.contentType != "" {
		w.Header().Set("Content-Type", whole.contentType)
	}
	_ = http.NewResponseController(w).SetWriteDeadline(writeDeadline())
	w.WriteHeader(whole.status)
	_, _ = w.Write(whole.body)
}

// answerFailure tells the caller why there is no answer.
func (g *gateway) answerFailure(w http.ResponseWriter, r *http.Request, j *job, err error) {
	f := asFailure(err)
	standing := classifier.KeyStatusUnkeyed
	if j != nil {
		standing = j.standing
		g.publish(j, phaseEnded, target{}, f)
	}
	_ = http.NewResponseController(w).SetWriteDeadline(writeDeadline())
	writeProblem(w, f, requestIDOf(r.Context()), standing)
}
