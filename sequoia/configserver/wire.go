package configserver

import "sequoiaspread.example/sequoia/promoter"

// Methods of a controller.
const (
	methodConfiguration = "configuration"
	methodPromote       = "promote"
	methodStatus        = "status"
	methodHistory       = "history"
)

type pollParams struct {
	VM        string `json:"vm"`
	Zone      string `json:"zone"`
	Have      uint64 `json:"have-version"`
	HaveViews uint64 `json:"have-views"`
}

type updateResult struct {
	Version       uint64          `json:"version"`
	Text          []byte          `json:"document,omitempty"`
	ViewsRevision uint64          `json:"views-revision"`
	Views         []promoter.View `json:"views,omitempty"`
}

type promoteParams struct {
	Version      uint64 `json:"version"`
	Document     []byte `json:"document"`
	Operator     string `json:"operator"`
	RequestID    string `json:"request-id"`
	WithoutTrial bool   `json:"without-trial,omitempty"`
}
