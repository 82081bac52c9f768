package configserver

import (
	"context"
	"time"

	"sequoiaspread.example/sequoia/promoter"
)

// Poll requests the document if it is newer than the version Have of the sender.
type Poll struct {
	VM   string
	Zone string
	Have uint64
	// HaveViews is the ViewsRevision of the last update, 0 in the first poll.
	HaveViews uint64
}

// Update is the reply to a poll. Text is set when Newer is true; Views are set when they changed since HaveViews. A
// reader keeps, for each availability zone, the view with the highest number.
type Update struct {
	Version       uint64
	Text          []byte
	Newer         bool
	ViewsRevision uint64
	Views         []promoter.View
}

// Promotion is a request to make a document the given version. RequestID identifies the request across resends.
type Promotion struct {
	Version      uint64
	Document     []byte
	Operator     string
	RequestID    string
	WithoutTrial bool
}

// Status is the state of the consensus group and of the polling processes, as one controller sees it.
type Status struct {
	Member  string   `json:"member"`
	Role    string   `json:"role"`
	Leader  string   `json:"leader"`
	Term    uint64   `json:"term"`
	Commit  uint64   `json:"commit"`
	Version uint64   `json:"version"`
	Voters  []string `json:"voters"`
	// OldVoters is set while a change of the voters is in progress.
	OldVoters []string        `json:"old-voters,omitempty"`
	Learners  []string        `json:"learners"`
	Views     []promoter.View `json:"views"`
	Pollers   []Poller        `json:"pollers"`
}

// Poller is a process that recently polled a controller; Age is the time since then.
type Poller struct {
	VM      string        `json:"vm"`
	Zone    string        `json:"zone"`
	Version uint64        `json:"version"`
	Age     time.Duration `json:"age-nanoseconds"`
}

// Service is the controller behind a handler.
type Service interface {
	Configuration(poll Poll) Update
	Promote(ctx context.Context, promotion Promotion) (promoter.Outcome, error)
	Status() Status
	History() []promoter.Promotion
}

// ViewsRevision returns a number that increases with each change of any view.
func ViewsRevision(views []promoter.View) uint64 {
	revision := uint64(0)
	for _, view := range views {
		revision += view.Number
	}
	return revision
}
