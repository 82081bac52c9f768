package reportserver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/reporter"
)

// MethodAppend is the JSON-RPC method that stores a report.
const MethodAppend = "report.append"

const (
	// maxBuckets limits one call. A gateway that was partitioned for long sends its buckets in several calls.
	maxBuckets = 4096
	maxDemands = 256
	// maxClockSkew is how far ahead of this process's clock a bucket may start.
	maxClockSkew = time.Minute
)

// Demand is the mean rate of tokens generated for a model since the previous report, in tokens per second.
type Demand struct {
	Model string
	Rate  float64
}

// Report is the report of one gateway. A bucket that is sent twice counts once.
type Report struct {
	VM      string
	Zone    string
	Buckets []reporter.Bucket
	Demands []Demand
}

type demandParams struct {
	Model string  `json:"model"`
	Rate  float64 `json:"tokens-per-second"`
}

type reportParams struct {
	VM      string            `json:"vm"`
	Zone    string            `json:"zone"`
	Buckets []reporter.Bucket `json:"buckets"`
	Demands []demandParams    `json:"demands"`
}

// Error is the error type of this package, with the operation, the kind and the cause.
type Error struct {
	Op    string
	Kind  Kind
	cause error
}

// Kind classifies an error of this package.
type Kind string

// KindUnreachable means that no controller stored the report.
const KindUnreachable Kind = "unreachable"

// Error returns the operation, the kind and the cause as one line.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// Client sends reports to all controllers of an availability zone.
type Client struct {
	pool        *messenger.Pool
	controllers []netip.AddrPort
}

// NewClient returns a client of the given controllers.
func NewClient(pool *messenger.Pool, controllers []netip.AddrPort) *Client {
	return &Client{pool: pool, controllers: controllers}
}

// Append sends a report to every controller. It fails only if none stored it; the caller then keeps the buckets.
func (c *Client) Append(ctx context.Context, report Report) error {
	params := reportParams{VM: report.VM, Zone: report.Zone, Buckets: report.Buckets}
	for _, demand := range report.Demands {
		params.Demands = append(params.Demands, demandParams(demand))
	}
	stored := 0
	var failures error
	for _, address := range c.controllers {
		if err := c.pool.Client(address).Call(ctx, MethodAppend, params, nil); err != nil {
			failures = errors.Join(failures, err)
			continue
		}
		stored++
	}
	if stored == 0 {
		return &Error{Op: "append report", Kind: KindUnreachable, cause: eris.Wrap(errors.Join(errNoController, failures), "send to controllers")}
	}
	return nil
}

var errNoController = errors.New("no controller stored the report")

// Sink stores received reports.
type Sink interface {
	Append(now time.Time, report Report) error
}

// AppendHandler returns the handler of MethodAppend, which decodes a report and appends it to the sink.
func AppendHandler(sink Sink) func(ctx context.Context, params json.RawMessage) (any, error) {
	return func(_ context.Context, params json.RawMessage) (any, error) {
		now := time.Now()
		report, err := decodeReport(now, params)
		if err != nil {
			return nil, err
		}
		if err := sink.Append(now, report); err != nil {
			return nil, err
		}
		return struct{}{}, nil
	}
}

func decodeReport(now time.Time, raw json.RawMessage) (Report, error) {
	params, err := messenger.Decode[reportParams](raw)
	if err != nil {
		return Report{}, err
	}
	report := Report{VM: params.VM, Zone: params.Zone, Buckets: params.Buckets}
	if len(params.Buckets) > maxBuckets || len(params.Demands) > maxDemands {
		return Report{}, invalidParams("the report has too many entries")
	}
	for _, bucket := range params.Buckets {
		if bucket.VM != params.VM || bucket.Start.After(now.Add(maxClockSkew)) {
			return Report{}, invalidParams("a bucket belongs to another VM or starts in the future")
		}
	}
	for _, demand := range params.Demands {
		// The comparison is false for NaN, so that it is rejected too.
		if !(demand.Rate >= 0) {
			return Report{}, invalidParams("a rate is negative")
		}
		report.Demands = append(report.Demands, Demand(demand))
	}
	return report, nil
}

func invalidParams(message string) error {
	return &messenger.RemoteError{Code: messenger.CodeInvalidParams, Message: message}
}
