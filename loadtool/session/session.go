package session

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"sequoiaspread.example/sequoia/parser"
)

const (
	// requestTimeout is the timeout of a request; a request that times out counts as a failure.
	requestTimeout = 20 * time.Second
	// One in resendEvery acknowledged bookings is resent through another entry VM, and one in concurrentEvery bookings is
	// sent through two entry VMs at the same time.
	resendEvery     = 5
	concurrentEvery = 7
	// One in sessionKeyEvery bookings uses a session key instead of a UUID.
	sessionKeyEvery = 2
)

// Session sends the load of a plan to a deployment.
type Session struct {
	plan         Plan
	workload     workload
	callers      []*Caller
	result       *Result
	pending      sync.WaitGroup
	bookingCount int
	keyPrefixes  []string
	keyNumbers   []int
}

// New returns a session with one caller for each organisation of the document.
func New(document *parser.Document, plan Plan, result *Result) *Session {
	s := &Session{plan: plan, workload: newWorkload(document), result: result}
	var entries []Entry
	for _, vm := range document.VMs {
		entries = append(entries, Entry{VM: vm.Name, Address: vm.CallerAddress.AddrPort, Zone: vm.Zone})
	}
	for _, organisation := range document.Organisations {
		zones := func(service string) []string { return s.workload.allowedZones(organisation.Name, service) }
		s.callers = append(s.callers, NewCaller(organisation.Name, entries, zones))
	}
	return s
}

// Run sends the load and returns when the last request has completed.
func (s *Session) Run(ctx context.Context) error {
	defer s.close()
	if err := s.openSessions(ctx); err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(s.plan.Seed, s.plan.Seed))
	streams := []struct {
		rate float64
		send func(context.Context, int)
	}{
		{s.plan.UrgentRate, s.sendUrgent},
		{s.plan.BatchRate, s.sendBatch},
		{s.plan.BookingRate, s.sendBooking},
		{s.plan.LookupRate, s.sendLookup},
	}
	var generators sync.WaitGroup
	for _, stream := range streams {
		streamRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		generators.Go(func() { s.generate(ctx, stream.rate, streamRandom, stream.send) })
	}
	generators.Wait()
	s.pending.Wait()
	return nil
}

func (s *Session) close() {
	for _, caller := range s.callers {
		caller.Close()
	}
}

func (s *Session) openSessions(ctx context.Context) error {
	s.keyPrefixes = make([]string, len(s.callers))
	s.keyNumbers = make([]int, len(s.callers))
	for i, caller := range s.callers {
		prefix, err := caller.OpenSession(ctx)
		if err != nil {
			return err
		}
		s.keyPrefixes[i] = prefix
	}
	return nil
}

// generate starts requests as a Poisson process with the given rate, without waiting for responses.
func (s *Session) generate(ctx context.Context, rate float64, random *rand.Rand, send func(context.Context, int)) {
	end := time.Now().Add(s.plan.Duration)
	for {
		sleep(ctx, time.Duration(random.ExpFloat64()/rate*float64(time.Second)))
		if ctx.Err() != nil || time.Now().After(end) {
			return
		}
		send(ctx, random.IntN(len(s.callers)))
	}
}

// startRequest runs a request concurrently with the others, with a timeout.
func (s *Session) startRequest(ctx context.Context, request func(context.Context)) {
	s.pending.Go(func() {
		requestContext, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		request(requestContext)
	})
}

func (s *Session) sendUrgent(ctx context.Context, callerIndex int) {
	s.sendChat(ctx, callerIndex, "chat "+s.workload.urgentRank, Chat{Rank: s.workload.urgentRank, Words: urgentWords, MaxTokens: urgentTokens, Stream: true})
}

func (s *Session) sendBatch(ctx context.Context, callerIndex int) {
	chat := Chat{Rank: s.workload.batchRank, Words: batchWords, MaxTokens: batchTokens, Stream: callerIndex%2 == 0}
	s.sendChat(ctx, callerIndex, "chat "+s.workload.batchRank, chat)
}

func (s *Session) sendChat(ctx context.Context, callerIndex int, name string, chat Chat) {
	chat.Model = s.workload.model
	chat.Service = s.workload.service
	chat.Marker = uuid.NewString()
	s.startRequest(ctx, func(ctx context.Context) {
		response, err := s.callers[callerIndex].Chat(ctx, chat)
		if err == nil {
			err = s.checkResidency(callerIndex, response)
		}
		s.result.record(name, response, err)
	})
}

// checkResidency checks that a chat request ran where the residency rules of its organisation allow.
func (s *Session) checkResidency(callerIndex int, response Response) error {
	zone := s.result.zoneOf(response.UpstreamVM)
	if slices.Contains(s.workload.allowedZones(s.callers[callerIndex].organisation, s.workload.service), zone) {
		return nil
	}
	return &Error{Op: "check residency", Kind: KindResponse, cause: eris.New("request ran outside the allowed availability zones, on " + response.UpstreamVM)}
}

func (s *Session) sendLookup(ctx context.Context, callerIndex int) {
	if len(s.workload.lookups) == 0 {
		return
	}
	op := s.workload.lookups[callerIndex%len(s.workload.lookups)]
	call := Call{Service: op.service, Method: op.declaration.Method, Path: op.declaration.Path}
	s.startRequest(ctx, func(ctx context.Context) {
		response, err := s.callers[callerIndex].Call(ctx, call)
		s.result.record("check", response, err)
	})
}

func (s *Session) sendBooking(ctx context.Context, callerIndex int) {
	number := s.bookingCount
	s.bookingCount++
	op := s.workload.bookings[number%len(s.workload.bookings)]
	call := Call{
		Service: op.service, Method: op.declaration.Method, Path: op.declaration.Path,
		Key: s.nextKey(callerIndex, number), Body: fmt.Appendf(nil, `{"booking":%d}`, number),
	}
	s.result.setAllowedZones(call.Key, s.workload.allowedZones(s.callers[callerIndex].organisation, call.Service))
	s.startRequest(ctx, func(ctx context.Context) { s.book(ctx, s.callers[callerIndex], call, number) })
}

// nextKey returns a new key. It is not safe for concurrent use: only the generator of bookings calls it.
func (s *Session) nextKey(callerIndex, number int) string {
	if number%sessionKeyEvery == 0 {
		s.keyNumbers[callerIndex]++
		return fmt.Sprintf("%s.%d", s.keyPrefixes[callerIndex], s.keyNumbers[callerIndex])
	}
	return uuid.Must(uuid.NewV7()).String()
}

// book makes one booking. Some bookings are sent through two entry VMs concurrently, and some are resent after the
// response.
func (s *Session) book(ctx context.Context, caller *Caller, call Call, number int) {
	var concurrent sync.WaitGroup
	if number%concurrentEvery == 0 {
		concurrent.Go(func() { s.resend(ctx, caller, call, "booking raced") })
	}
	response, err := caller.Call(ctx, call)
	concurrent.Wait()
	s.result.record("booking", response, err)
	s.result.setKeyState(call.Key, keyStateOf(err))
	if err == nil && number%resendEvery == 0 {
		s.resend(ctx, caller, call, "booking resent")
	}
}

// resend sends a booking with the same key through the last entry VM of the list.
func (s *Session) resend(ctx context.Context, caller *Caller, call Call, name string) {
	start := time.Now()
	for range maxAttempts {
		response, err := s.attemptResend(ctx, caller, call, start)
		delay, retry := callRetry(call, err)
		if err == nil || !retry || ctx.Err() != nil {
			s.result.record(name, response, err)
			return
		}
		sleep(ctx, delay)
	}
	s.result.record(name, Response{}, &Error{Op: name, Kind: KindTimeout, cause: errTooManyAttempts})
}

func (s *Session) attemptResend(ctx context.Context, caller *Caller, call Call, start time.Time) (Response, error) {
	entries, err := caller.entries(ctx, call.Service)
	if err != nil {
		return Response{}, err
	}
	return caller.CallAt(ctx, entries[len(entries)-1], call, start)
}

func keyStateOf(err error) keyState {
	var sessionErr *Error
	switch {
	case err == nil:
		return keyAcknowledged
	case errors.As(err, &sessionErr) && sessionErr.Kind == KindProblem && sessionErr.Problem.Outcome == outcomeNotRun:
		return keyNotRun
	default:
		return keyUnknown
	}
}
