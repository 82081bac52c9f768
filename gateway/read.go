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

// singleHeaders must not be repeated, because the intended value would be ambiguous.
var singleHeaders = []string{"Authorization", "Content-Type", headerIdempotencyKey, headerRank, headerHops, headerLastEvent}

// checkSingleHeaders rejects a request that repeats one of the single headers.
func checkSingleHeaders(header http.Header) error {
	for _, name := range singleHeaders {
		if len(header.Values(name)) > 1 {
			return newRefusal("check headers", classifier.CauseInvalidRequest, "the header "+name+" is repeated")
		}
	}
	return nil
}

// openRequest creates the state of a request: it authenticates the caller and reads the headers.
func (g *gateway) openRequest(r *http.Request) (*callerRequest, error) {
	env := g.environment.Load()
	if env == nil {
		return nil, newRefusal("open request", classifier.CauseNotReady, "")
	}
	req := &callerRequest{
		id:             requestIDOf(r.Context()),
		received:       g.now(),
		env:            env,
		authorisation:  r.Header.Get("Authorization"),
		trace:          readTrace(r.Header),
		method:         r.Method,
		query:          r.URL.RawQuery,
		contentType:    r.Header.Get("Content-Type"),
		accept:         r.Header.Get("Accept"),
		idempotencyKey: r.Header.Get(headerIdempotencyKey),
		keyStatus:      classifier.KeyStatusUnkeyed,
	}
	organisation, ok := env.organisationByKey(strings.TrimPrefix(req.authorisation, bearerPrefix))
	if !ok || !strings.HasPrefix(req.authorisation, bearerPrefix) {
		return req, newRefusal("authenticate", classifier.CauseUnauthorised, "")
	}
	req.organisation = organisation
	if err := checkSingleHeaders(r.Header); err != nil {
		return req, err
	}
	if !isInternal(r.Context()) {
		return req, nil
	}
	hops, err := checkHops(r.Header.Get(headerHops), g.settings.Zone)
	req.hops = hops
	return req, err
}

// assignService sets the rank and the residency of a request from its service, and checks that this availability zone
// is allowed.
func (g *gateway) assignService(req *callerRequest, r *http.Request, serviceTier string) error {
	req.pool, _ = req.env.doc.Pool(req.service.Pool)
	rank, err := req.chooseRank(r.Header.Get(headerRank), serviceTier)
	if err != nil {
		return err
	}
	req.rank = rank
	req.subject = restrictor.Subject{Organisation: req.organisation.Name, Service: req.service.Name, RestrictedTo: readResidency(r.Header)}
	zones := req.env.restrictor.AllowedZones(req.subject)
	if len(zones) == 0 {
		return newRefusal("check residency", classifier.CauseResidency, "")
	}
	if req.env.restrictor.Check(req.subject, restrictor.PurposeRequest, g.settings.Zone) != nil {
		return newRefusal("check residency", classifier.CauseMisdirected, "ask the directory for entry VMs in "+strings.Join(zones, ", "))
	}
	return nil
}

// chooseRank returns the rank of the header, else of the OpenAI service tier, else the default rank of the service.
func (req *callerRequest) chooseRank(header, serviceTier string) (int, error) {
	ranks := req.env.doc.Ranks
	if header != "" {
		if index := req.env.doc.RankIndex(header); index >= 0 {
			return index, nil
		}
		return 0, newRefusal("choose rank", classifier.CauseUnknownRank, "")
	}
	switch serviceTier {
	case "priority":
		return 0, nil
	case "flex":
		return len(ranks) - 1, nil
	default:
		return req.env.doc.RankIndex(req.service.DefaultRank), nil
	}
}

func readResidency(header http.Header) []string {
	var zones []string
	for _, value := range header.Values(headerResidency) {
		for part := range strings.SplitSeq(value, ",") {
			if name := strings.TrimSpace(part); name != "" {
				zones = append(zones, name)
			}
		}
	}
	return zones
}

// readBody reads the body within the size limit and the timeout.
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

// chatBody holds the members of a chat request that the gateway reads. The others are passed on unchanged.
type chatBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	ServiceTier         string          `json:"service_tier"`
	Messages            json.RawMessage `json:"messages"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
}

// readChat reads and validates a chat request.
func (g *gateway) readChat(w http.ResponseWriter, r *http.Request) (*callerRequest, error) {
	req, err := g.openRequest(r)
	if err != nil {
		return req, err
	}
	req.path = chatPath
	req.idempotent = true
	req.idempotencyKey = ""
	if req.body, err = readBody(w, r); err != nil {
		return req, err
	}
	body, err := decodeChat(req.body)
	if err != nil {
		return req, err
	}
	service, ok := req.env.servicesByModel[body.Model]
	if !ok {
		return req, newRefusal("find service", classifier.CauseUnknownModel, "")
	}
	req.service = service
	req.model = body.Model
	req.stream = body.Stream
	req.maxTokens = max(body.MaxTokens, body.MaxCompletionTokens)
	req.setPrompt(body.Messages)
	return req, g.assignService(req, r, body.ServiceTier)
}

func decodeChat(text []byte) (chatBody, error) {
	var body chatBody
	if !utf8.Valid(text) {
		return body, newRefusal("decode body", classifier.CauseInvalidUTF8, "")
	}
	if !json.Valid(text) {
		return body, newRefusal("decode body", classifier.CauseInvalidJSON, "")
	}
	if err := json.Unmarshal(text, &body); err != nil {
		return body, newRefusal("decode body", classifier.CauseInvalidRequest, "a member has the wrong type")
	}
	if body.Model == "" || len(body.Messages) == 0 || body.Messages[0] != '[' {
		return body, newRefusal("decode body", classifier.CauseInvalidRequest, "model and messages are required")
	}
	return body, nil
}

// bodyWithPriority returns the body with the priority of the rank, which replaces any priority set by the caller.
func (req *callerRequest) bodyWithPriority() ([]byte, error) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(req.body, &members); err != nil {
		return nil, newFailure("set priority", classifier.CauseInvalidJSON, err)
	}
	priority, err := json.Marshal(req.rank)
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
