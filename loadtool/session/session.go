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
	// requestTimeout ends a request that is never answered, which counts as a failure.
	requestTimeout = 20 * time.Second
	// resendEvery is how often an acknowledged booking is sent again through another entry VM, and raceEvery how often
	// a booking is sent through two entry VMs at the same time.
	resendEvery = 5
	raceEvery   = 7
	// sessionEvery is how often a booking uses a session key instead of a UUID.
	sessionEvery = 2
)

// Session sends the load of one plan.
type Session struct {
	plan     Plan
	workload workload
	callers  []*Caller
	result   *Result
	running  sync.WaitGroup
	bookings int
	prefixes []string
	numbers  []int
}

// New returns a session with one caller for each organisation of the document.
func New(document *parser.Document, plan Plan, result *Result) *Session {
	s := &Session{plan: plan, workload: newWorkload(document), result: result}
	var seeds []Entry
	for _, vm := range document.VMs {
		seeds = append(seeds, Entry{VM: vm.Name, Address: vm.CallerAddress.AddrPort, Zone: vm.Zone})
	}
	for _, organisation := range document.Organisations {
		zones := func(service string) []string { return s.workload.zonesFor(organisation.Name, service) }
		s.callers = append(s.callers, NewCaller(organisation.Name, seeds, zones))
	}
	return s
}

// Run sends the load, and returns when the last request has ended.
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
		{s.plan.PatientRate, s.sendPatient},
		{s.plan.BookingRate, s.sendBooking},
		{s.plan.CheckRate, s.sendCheck},
	}
	var generators sync.WaitGroup
	for _, stream := range streams {
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		generators.Go(func() { s.generate(ctx, stream.rate, own, stream.send) })
	}
	generators.Wait()
	s.running.Wait()
	return nil
}

func (s *Session) close() {
	for _, caller := range s.callers {
		caller.Close()
	}
}

func (s *Session) openSessions(ctx context.Context) error {
	s.prefixes = make([]string, len(s.callers))
	s.numbers = make([]int, len(s.callers))
	for i, caller := range s.callers {
		prefix, err := caller.OpenSession(ctx)
		if err != nil {
			return err
		}
		s.prefixes[i] = prefix
	}
	return nil
}

// generate starts requests at random intervals with a mean of 1/rate, without waiting for answers.
func (s *Session) generate(ctx context.Context, rate float64, random *rand.Rand, send func(context.Context, int)) {
	end := time.Now().Add(s.plan.Duration)
	for {
		wait(ctx, time.Duration(random.ExpFloat64()/rate*float64(time.Second)))
		if ctx.Err() != nil || time.Now().After(end) {
			return
		}
		send(ctx, random.IntN(len(s.callers)))
	}
}

// start runs one request beside the others, with a time limit.
func (s *Session) start(ctx context.Context, request func(context.Context)) {
	s.running.Go(func() {
		limited, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		request(limited)
	})
}

func (s *Session) sendUrgent(ctx context.Context, who int) {
	s.sendChat(ctx, who, "chat "+s.workload.urgent, Chat{Rank: s.workload.urgent, Words: urgentWords, MaxTokens: urgentTokens, Stream: true})
}

func (s *Session) sendPatient(ctx context.Context, who int) {
	chat := Chat{Rank: s.workload.patient, Words: patientWords, MaxTokens: patientTokens, Stream: who%2 == 0}
	s.sendChat(ctx, who, "chat "+s.workload.patient, chat)
}

func (s *Session) sendChat(ctx context.Context, who int, name string, chat Chat) {
	chat.Model = s.workload.model
	chat.Service = s.workload.service
	chat.Marker = uuid.NewString()
	s.start(ctx, func(ctx context.Context) {
		answer, err := s.callers[who].Chat(ctx, chat)
		if err == nil {
			err = s.checkPlace(who, answer)
		}
		s.result.record(name, answer, err)
	})
}

// checkPlace checks that a chat request ran where the residency rules of its organisation allow.
func (s *Session) checkPlace(who int, answer Answer) error {
	zone := s.result.zoneOf(answer.UpstreamVM)
	if slices.Contains(s.workload.zonesFor(s.callers[who].organisation, s.workload.service), zone) {
		return nil
	}
	return &Error{Op: "check residency", Kind: KindAnswer, cause: eris.New("request ran on " + answer.UpstreamVM)}
}

func (s *Session) sendCheck(ctx context.Context, who int) {
	if len(s.workload.repeat) == 0 {
		return
	}
	each := s.workload.repeat[who%len(s.workload.repeat)]
	call := Call{Service: each.service, Method: each.declared.Method, Path: each.declared.Path}
	s.start(ctx, func(ctx context.Context) {
		answer, err := s.callers[who].Call(ctx, call)
		s.result.record("check", answer, err)
	})
}

func (s *Session) sendBooking(ctx context.Context, who int) {
	number := s.bookings
	s.bookings++
	each := s.workload.once[number%len(s.workload.once)]
	call := Call{
		Service: each.service, Method: each.declared.Method, Path: each.declared.Path,
		Key: s.nextKey(who, number), Body: fmt.Appendf(nil, `{"booking":%d}`, number),
	}
	s.result.allow(call.Key, s.workload.zonesFor(s.callers[who].organisation, call.Service))
	s.start(ctx, func(ctx context.Context) { s.book(ctx, s.callers[who], call, number) })
}

// nextKey returns a new key; only the generator of bookings calls it.
func (s *Session) nextKey(who, number int) string {
	if number%sessionEvery == 0 {
		s.numbers[who]++
		return fmt.Sprintf("%s.%d", s.prefixes[who], s.numbers[who])
	}
	return uuid.Must(uuid.NewV7()).String()
}

// book makes one booking, some through two entry VMs at once, and sends some again after the answer.
func (s *Session) book(ctx context.Context, caller *Caller, call Call, number int) {
	var race sync.WaitGroup
	if number%raceEvery == 0 {
		race.Go(func() { s.resend(ctx, caller, call, "booking raced") })
	}
	answer, err := caller.Call(ctx, call)
	race.Wait()
	s.result.record("booking", answer, err)
	s.result.setKey(call.Key, stateOf(err))
	if err == nil && number%resendEvery == 0 {
		s.resend(ctx, caller, call, "booking resent")
	}
}

// resend sends the same booking through the last entry VM of the list.
func (s *Session) resend(ctx context.Context, caller *Caller, call Call, name string) {
	start := time.Now()
	for range tryLimit {
		answer, err := s.resendOnce(ctx, caller, call, start)
		pause, again := resendCall(call, err)
		if err == nil || !again || ctx.Err() != nil {
			s.result.record(name, answer, err)
			return
		}
		wait(ctx, pause)
	}
	s.result.record(name, Answer{}, &Error{Op: name, Kind: KindTimeout, cause: errTries})
}

func (s *Session) resendOnce(ctx context.Context, caller *Caller, call Call, start time.Time) (Answer, error) {
	entries, err := caller.entries(ctx, call.Service)
	if err != nil {
		return Answer{}, err
	}
	return caller.CallAt(ctx, entries[len(entries)-1], call, start)
}

func stateOf(err error) keyState {
	var known *Error
	switch {
	case err == nil:
		return keyAcknowledged
	case errors.As(err, &known) && known.Kind == KindProblem && known.Problem.Outcome == outcomeNotRun:
		return keyNotRun
	default:
		return keyUnknown
	}
}
