package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"sequoiaspread.example/sequoia/classifier"
	"sequoiaspread.example/sequoia/restrictor"
)

const bearerPrefix = "Bearer "

// singleHeaders are read once; of two values none can be taken for what the caller meant.
var singleHeaders = []string{"Authorization", "Content-Type", headerKey, headerRank, headerHops, headerLastEvent}

// checkRepeated refuses a request that states one of the single headers twice.
func checkRepeated(header http.Header) error {
	for _, name := range singleHeaders {
		if len(header.Values(name)) > 1 {
			return refuse("check headers", classifier.CauseInvalidRequest, "the header "+name+" is repeated")
		}
	}
	return nil
}

// open starts a job: it authenticates the caller and takes what the headers say.
func (g *gateway) open(r *http.Request) (*job, error) {
	env := g.environment.Load()
	if env == nil {
		return nil, refuse("open request", classifier.CauseNotReady, "")
	}
	j := &job{
		id:          requestIDOf(r.Context()),
		received:    g.now(),
		env:         env,
		authority:   r.Header.Get("Authorization"),
		trace:       readTrace(r.Header),
		method:      r.Method,
		query:       r.URL.RawQuery,
		contentType: r.Header.Get("Content-Type"),
		accept:      r.Header.Get("Accept"),
		key:         r.Header.Get(headerKey),
		standing:    classifier.KeyStatusUnkeyed,
	}
	organisation, ok := env.organisationByKey(strings.TrimPrefix(j.authority, bearerPrefix))
	if !ok || !strings.HasPrefix(j.authority, bearerPrefix) {
		return j, refuse("authenticate", classifier.CauseUnauthorised, "")
	}
	j.organisation = organisation
	if err := checkRepeated(r.Header); err != nil {
		return j, err
	}
	if !isInternal(r.Context()) {
		return j, nil
	}
	hops, err := checkHops(r.Header.Get(headerHops), g.settings.Zone)
	j.hops = hops
	return j, err
}

// assign sets the service of a job and all that follows from it: rank, residency, and whether this place is allowed.
func (g *gateway) assign(j *job, r *http.Request, serviceTier string) error {
	j.pool, _ = j.env.doc.Pool(j.service.Pool)
	rank, err := j.chooseRank(r.Header.Get(headerRank), serviceTier)
	if err != nil {
		return err
	}
	j.rank = rank
	j.subject = restrictor.Subject{Organisation: j.organisation.Name, Service: j.service.Name, RestrictedTo: readPlaces(r.Header)}
	places := j.env.restrictor.AllowedZones(j.subject)
	if len(places) == 0 {
		return refuse("check residency", classifier.CauseResidency, "")
	}
	if j.env.restrictor.Check(j.subject, restrictor.PurposeRequest, g.settings.Zone) != nil {
		return refuse("check residency", classifier.CauseMisdirected, "ask the directory for entry VMs in "+strings.Join(places, ", "))
	}
	return nil
}

// chooseRank prefers the header, then the service tier of the OpenAI interface, then the default of the service.
func (j *job) chooseRank(header, serviceTier string) (int, error) {
	ranks := j.env.doc.Ranks
	if header != "" {
		if index := j.env.doc.RankIndex(header); index >= 0 {
			return index, nil
		}
		return 0, refuse("choose rank", classifier.CauseUnknownRank, "")
	}
	switch serviceTier {
	case "priority":
		return 0, nil
	case "flex":
		return len(ranks) - 1, nil
	default:
		return j.env.doc.RankIndex(j.service.DefaultRank), nil
	}
}

func readPlaces(header http.Header) []string {
	var places []string
	for _, value := range header.Values(headerResidency) {
		for part := range strings.SplitSeq(value, ",") {
			if name := strings.TrimSpace(part); name != "" {
				places = append(places, name)
			}
		}
	}
	return places
}

// readBody reads the body within its limits of size and time.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	var buffer bytes.Buffer
	if r.ContentLength > 0 && r.ContentLength <= maxBodyBytes {
		buffer.Grow(int(r.ContentLength))
	}
	_, err := io.Copy(&buffer, http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return nil, bodyFailure(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return buffer.Bytes(), nil
}

func bodyFailure(err error) error {
	var tooLarge *http.MaxBytesError
	var network net.Error
	switch {
	case errors.As(err, &tooLarge):
		return newFailure("read body", classifier.CauseBodyTooLarge, err)
	case errors.As(err, &network) && network.Timeout():
		return newFailure("read body", classifier.CauseBodyTimeout, err)
	default:
		return newFailure("read body", classifier.CauseBodyIncomplete, err)
	}
}

// chatBody holds the members of a chat request that the gateway reads; the rest is passed on as it came.
type chatBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	ServiceTier         string          `json:"service_tier"`
	Messages            json.RawMessage `json:"messages"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
}

// readChat reads and checks a chat request.
func (g *gateway) readChat(w http.ResponseWriter, r *http.Request) (*job, error) {
	j, err := g.open(r)
	if err != nil {
		return j, err
	}
	j.path = chatPath
	j.idempotent = true
	j.key = ""
	if j.body, err = readBody(w, r); err != nil {
		return j, err
	}
	body, err := decodeChat(j.body)
	if err != nil {
		return j, err
	}
	service, ok := j.env.models[body.Model]
	if !ok {
		return j, refuse("find service", classifier.CauseUnknownModel, "")
	}
	j.service = service
	j.model = body.Model
	j.stream = body.Stream
	j.maxTokens = max(body.MaxTokens, body.MaxCompletionTokens)
	j.setPrompt(body.Messages)
	return j, g.assign(j, r, body.ServiceTier)
}

func decodeChat(text []byte) (chatBody, error) {
	var body chatBody
	if !utf8.Valid(text) {
		return body, refuse("decode body", classifier.CauseInvalidUTF8, "")
	}
	if !json.Valid(text) {
		return body, refuse("decode body", classifier.CauseInvalidJSON, "")
	}
	if err := json.Unmarshal(text, &body); err != nil {
		return body, refuse("decode body", classifier.CauseInvalidRequest, "a member has the wrong type")
	}
	if body.Model == "" || len(body.Messages) == 0 || body.Messages[0] != '[' {
		return body, refuse("decode body", classifier.CauseInvalidRequest, "model and messages are required")
	}
	return body, nil
}

// prioritise returns the body with the priority of the rank; a priority that the caller set is replaced.
func (j *job) prioritise() ([]byte, error) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(j.body, &members); err != nil {
		return nil, newFailure("set priority", classifier.CauseInvalidJSON, err)
	}
	priority, err := json.Marshal(j.rank)
	if err != nil {
		return nil, newFailure("set priority", classifier.CauseInternal, err)
	}
	members["priority"] = priority
	body, err := json.Marshal(members)
	if err != nil {
		return nil, newFailure("set priority", classifier.CauseInternal, err)
	}
	return body, nil
}

type contextKey int

const (
	contextRequestID contextKey = iota
	contextInternal
)

func requestIDOf(ctx context.Context) string {
	id, _ := ctx.Value(contextRequestID).(string)
	return id
}

func isInternal(ctx context.Context) bool {
	internal, _ := ctx.Value(contextInternal).(bool)
	return internal
}
