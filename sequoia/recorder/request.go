package recorder

import "time"

// Request is a call of a gateway: Begin, Finish, Release, Lookup or Session.
type Request interface {
	isRequest()
}

// Begin asks for the permit to send one call of a non-idempotent operation.
type Begin struct {
	Zone         string // home availability zone of the key
	Organisation string
	Key          string // idempotency key as the caller gave it
	Digest       string // digest of the request's method, path and body
	Service      string
	Attempt      string // unique for each request that a gateway handles; the same in a resend of this Begin
}

// Release builds the request that gives up a Begin whose reply did not come; the attempt must not send afterwards.
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

// Release gives a permit back; the holder may send it only when no byte of the call was sent.
type Release struct {
	Zone         string
	Organisation string
	Key          string
	Attempt      string
}

// Lookup asks for the outcome of a key without asking to run it.
type Lookup struct {
	Zone         string
	Organisation string
	Key          string
}

// Session asks for a new session, whose keys are Reply.Session + "." + number, numbers from 1.
type Session struct {
	Zone         string
	Organisation string
}

func (Begin) isRequest()   {}
func (Finish) isRequest()  {}
func (Release) isRequest() {}
func (Lookup) isRequest()  {}
func (Session) isRequest() {}

// Result says what the holder of a permit knows about its call.
type Result string

// Results of a call.
const (
	ResultAnswered Result = "answered" // the upstream answered in whole
	ResultUnknown  Result = "unknown"  // bytes were sent and no whole answer came back
)

// Answer is the upstream's recorded answer, served to resends.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Omitted     bool   `json:"omitted,omitempty"` // the body was larger than the record group keeps
}

// Outcome is the kind of a reply.
type Outcome string

// Outcomes of requests.
const (
	OutcomeGranted     Outcome = "granted"     // Begin: the attempt alone may send the call
	OutcomeReplay      Outcome = "replay"      // the call ran; Answer is the recorded answer
	OutcomeConflict    Outcome = "conflict"    // the key was used with another body or service
	OutcomePending     Outcome = "pending"     // another attempt holds the permit
	OutcomeUnknown     Outcome = "unknown"     // it cannot be told whether the key ran; it is never run again
	OutcomeExpired     Outcome = "expired"     // the key is too old to tell; it is never run again
	OutcomeRefused     Outcome = "refused"     // the key has not run; Hint says what to change
	OutcomeAbsent      Outcome = "absent"      // Lookup: the key has not run
	OutcomeNotPrimary  Outcome = "not-primary" // ask the primary of View
	OutcomeNotHolder   Outcome = "not-holder"  // Finish, Release: the attempt does not hold the permit
	OutcomeUnavailable Outcome = "unavailable" // not all members of the view can be reached; no permit was given to this call
	OutcomeDone        Outcome = "done"        // Finish, Release: recorded on every member of the view
	OutcomeOpened      Outcome = "opened"      // Session: Session is the prefix of its keys
)

// Reply is the answer to a Request.
type Reply struct {
	Outcome Outcome
	Permit  Permit        // with OutcomeGranted
	Answer  Response      // with OutcomeReplay
	View    View          // the view in which the member replied
	Session string        // with OutcomeOpened: <zone>.<epoch>.<session>
	Expires time.Time     // with OutcomeOpened: no new key of the session is accepted later
	Hint    string        // with OutcomeRefused, for the caller
	Retry   time.Duration // when a resend of the same request can give another reply; zero when never
}

// Permit names the one attempt that may send the call, and all that Finish and Release need.
type Permit struct {
	Zone         string
	Organisation string
	Key          string
	Attempt      string
	Service      string
	Epoch        uint64
	View         uint64
	Lifetime     time.Duration // afterwards the record answers unknown until Finish
}

// Finish builds the request that records the result of the permit's call.
func (p Permit) Finish(result Result, answer Response) Finish {
	return Finish{Zone: p.Zone, Organisation: p.Organisation, Key: p.Key, Attempt: p.Attempt, Result: result, Answer: answer}
}

// Release builds the request that gives the permit back unused.
func (p Permit) Release() Release {
	return Release{Zone: p.Zone, Organisation: p.Organisation, Key: p.Key, Attempt: p.Attempt}
}
