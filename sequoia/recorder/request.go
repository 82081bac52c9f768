package recorder

import "time"

// Request is a request of a gateway: Begin, Finish, Release, Lookup or Session.
type Request interface {
	isRequest()
}

// Begin asks for the permit to send one call of a non-idempotent operation.
type Begin struct {
	Zone         string // home availability zone of the key
	Organisation string
	Key          string // idempotency key as the caller sent it
	Digest       string // digest of the request's method, path and body
	Service      string
	Attempt      string // unique for each request that a gateway handles, and the same when this Begin is resent
}

// Release returns the request that cancels a Begin whose reply was lost. The attempt must not send the call afterwards.
func (b Begin) Release() Release {
	return Release{Zone: b.Zone, Organisation: b.Organisation, Key: b.Key, Attempt: b.Attempt}
}

// Finish records the result of the call for which Attempt holds the permit.
type Finish struct {
	Zone         string
	Organisation string
	Key          string
	Attempt      string
	Result       Result
	Answer       Response // kept only with ResultAnswered
}

// Release returns a permit unused. The holder may send it only if no byte of the call was sent.
type Release struct {
	Zone         string
	Organisation string
	Key          string
	Attempt      string
}

// Lookup asks for the outcome of a key without asking to execute it.
type Lookup struct {
	Zone         string
	Organisation string
	Key          string
}

// Session asks for a new session. Its keys are Reply.Session + "." + number, with numbers from 1.
type Session struct {
	Zone         string
	Organisation string
}

func (Begin) isRequest()   {}
func (Finish) isRequest()  {}
func (Release) isRequest() {}
func (Lookup) isRequest()  {}
func (Session) isRequest() {}

// Result is the result of a call, as far as the holder of its permit knows.
type Result string

// Results of a call.
const (
	ResultAnswered Result = "answered" // the upstream sent a complete response
	ResultUnknown  Result = "unknown"  // bytes were sent and no complete response was received
)

// Response is the recorded response of the upstream, with which resent requests are answered.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Omitted     bool   `json:"omitted,omitempty"` // the body was too large to record
}

// Outcome is the kind of a reply.
type Outcome string

// Outcomes of requests.
const (
	OutcomeGranted     Outcome = "granted"     // Begin: only this attempt may send the call
	OutcomeReplay      Outcome = "replay"      // the call was executed; Reply.Answer is the recorded response
	OutcomeConflict    Outcome = "conflict"    // the key was used with another body or service
	OutcomePending     Outcome = "pending"     // another attempt holds the permit
	OutcomeUnknown     Outcome = "unknown"     // it is unknown whether the key was executed; it is never executed again
	OutcomeExpired     Outcome = "expired"     // the key is too old for its record to be kept; it is never executed again
	OutcomeRefused     Outcome = "refused"     // the key was not executed; Reply.Hint says what to change
	OutcomeAbsent      Outcome = "absent"      // Lookup: the key was not executed
	OutcomeNotPrimary  Outcome = "not-primary" // send the request to the primary of Reply.View
	OutcomeNotHolder   Outcome = "not-holder"  // Finish, Release: the attempt does not hold the permit
	OutcomeUnavailable Outcome = "unavailable" // a member of the view is unreachable; no permit was granted to this call
	OutcomeDone        Outcome = "done"        // Finish, Release: the request is recorded on every member of the view
	OutcomeOpened      Outcome = "opened"      // Session: Reply.Session is the prefix of the session's keys
)

// Reply is the reply to a Request.
type Reply struct {
	Outcome Outcome
	Permit  Permit        // with OutcomeGranted
	Answer  Response      // with OutcomeReplay
	View    View          // the view in which the member replied
	Session string        // with OutcomeOpened: <zone>.<epoch>.<session>
	Expires time.Time     // with OutcomeOpened: no new key of the session is accepted after this time
	Hint    string        // with OutcomeRefused, for the caller
	Retry   time.Duration // delay after which the same request can get another reply; zero if it never can
}

// Permit identifies the one attempt that may send the call, with all that Finish and Release need.
type Permit struct {
	Zone         string
	Organisation string
	Key          string
	Attempt      string
	Service      string
	Epoch        uint64
	View         uint64
	Lifetime     time.Duration // after it, the outcome is OutcomeUnknown until Finish
}

// Finish returns the request that records the result of the permit's call.
func (p Permit) Finish(result Result, response Response) Finish {
	return Finish{Zone: p.Zone, Organisation: p.Organisation, Key: p.Key, Attempt: p.Attempt, Result: result, Answer: response}
}

// Release returns the request that returns the permit unused.
func (p Permit) Release() Release {
	return Release{Zone: p.Zone, Organisation: p.Organisation, Key: p.Key, Attempt: p.Attempt}
}
