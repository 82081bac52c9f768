package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"sequoiaspread.example/sequoia/reporter"
	"sequoiaspread.example/sequoia/reportserver"
	"sequoiaspread.example/sequoia/storer"
)

const (
	reportsFile    = "reports.db"
	historyBucket  = "buckets"
	expireInterval = time.Hour
	// demandMaxAge is how long a gateway's demand is counted after its last report.
	demandMaxAge = 30 * time.Second
)

// reportStore stores the service-level buckets of the gateways in this availability zone and holds their latest demand.
type reportStore struct {
	node  *node
	store *storer.Store
	// opened is closed when the history file is open.
	opened chan struct{}

	mu      sync.Mutex
	demands map[string]gatewayDemand
}

// gatewayDemand is the latest demand that a gateway reported.
type gatewayDemand struct {
	reportedAt time.Time
	rates      []reportserver.Demand
}

func newReportStore(n *node) *reportStore {
	r := &reportStore{node: n, opened: make(chan struct{}), demands: map[string]gatewayDemand{}}
	n.reports = r
	return r
}

func (r *reportStore) register(table *methodTable) {
	table.register(reportserver.MethodAppend, reportserver.AppendHandler(r))
}

// run opens the history file and deletes buckets older than the budget period until the context is cancelled.
func (r *reportStore) run(ctx context.Context) error {
	store, err := storer.Open(storer.Config{Path: filepath.Join(r.node.settings.DataFolder, reportsFile)})
	if err != nil {
		return wrapError("open report history", kindDisk, err)
	}
	r.mu.Lock()
	r.store = store
	r.mu.Unlock()
	close(r.opened)
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		if err := r.expire(time.Now()); err != nil {
			return errors.Join(err, r.close())
		}
		select {
		case <-ctx.Done():
			return r.close()
		case <-ticker.C:
		}
	}
}

func (r *reportStore) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	store := r.store
	r.store = nil
	return store.Close()
}

// Append stores a report. It returns an error while the history file is not open, so that the gateway resends the
// buckets.
func (r *reportStore) Append(now time.Time, report reportserver.Report) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.store == nil {
		return newError("append report", kindStopped, "the report history is not open")
	}
	r.demands[report.VM] = gatewayDemand{reportedAt: now, rates: report.Demands}
	ops := make([]storer.Op, 0, len(report.Buckets))
	for _, bucket := range report.Buckets {
		value, err := json.Marshal(bucket)
		if err != nil {
			return wrapError("encode bucket", kindDisk, err)
		}
		ops = append(ops, storer.Op{Bucket: historyBucket, Key: bucketKey(bucket), Value: value})
	}
	if len(ops) == 0 {
		return nil
	}
	if err := r.store.Write(ops...); err != nil {
		return wrapError("store buckets", kindDisk, err)
	}
	return nil
}

// bucketKey returns a key that sorts by start time. Equal buckets have equal keys, which makes a resend idempotent.
func bucketKey(bucket reporter.Bucket) []byte {
	key := binary.BigEndian.AppendUint64(nil, uint64(bucket.Start.Unix()))
	return append(key, bucket.VM+"\x00"+bucket.Service+"\x00"+bucket.Rank...)
}

func (r *reportStore) expire(now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := uint64(now.Add(-reporter.BudgetPeriod).Unix())
	var ops []storer.Op
	err := r.store.Scan(historyBucket, func(key, _ []byte) error {
		if binary.BigEndian.Uint64(key) >= oldest {
			return errStopScan
		}
		ops = append(ops, storer.Op{Bucket: historyBucket, Key: append([]byte(nil), key...)})
		return nil
	})
	if err != nil && !errors.Is(err, errStopScan) {
		return wrapError("read buckets", kindDisk, err)
	}
	if len(ops) == 0 {
		return nil
	}
	return r.store.Write(ops...)
}

var errStopScan = errors.New("remaining buckets have not expired")

// buckets returns the stored history.
func (r *reportStore) buckets() ([]reporter.Bucket, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := []reporter.Bucket{}
	if r.store == nil {
		return list, nil
	}
	err := r.store.Scan(historyBucket, func(_, value []byte) error {
		var bucket reporter.Bucket
		if err := json.Unmarshal(value, &bucket); err != nil {
			return err
		}
		list = append(list, bucket)
		return nil
	})
	return list, err
}

// demand returns the total demand of the availability zone's gateways by model, in tokens per second.
func (r *reportStore) demand(now time.Time) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	totals := map[string]float64{}
	for vm, demand := range r.demands {
		if now.Sub(demand.reportedAt) > demandMaxAge {
			delete(r.demands, vm)
			continue
		}
		for _, rate := range demand.rates {
			totals[rate.Model] += rate.Rate
		}
	}
	return totals
}

// handleBurn responds with the buckets of this availability zone, from which sequoiactl computes the burn report.
func (r *reportStore) handleBurn(w http.ResponseWriter, _ *http.Request) {
	list, err := r.buckets()
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, list)
}
