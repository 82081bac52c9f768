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
	bucketsName    = "buckets"
	expireInterval = time.Hour
	// demandAge is how long a gateway's demand counts after its last report.
	demandAge = 30 * time.Second
)

// reports keeps the service-level buckets of the availability zone's gateways and their latest demand.
type reports struct {
	node  *node
	store *storer.Store
	// opened is closed when reports can be stored.
	opened chan struct{}

	mu      sync.Mutex
	demands map[string]gatewayDemand
}

// gatewayDemand is the last demand that a gateway reported.
type gatewayDemand struct {
	at    time.Time
	rates []reportserver.Demand
}

func newReports(n *node) *reports {
	r := &reports{node: n, opened: make(chan struct{}), demands: map[string]gatewayDemand{}}
	n.reports = r
	return r
}

func (r *reports) register(methods *methods) {
	methods.register(reportserver.MethodAppend, reportserver.AppendHandler(r))
}

// run keeps the history file open and drops buckets older than the budget period.
func (r *reports) run(ctx context.Context) error {
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

func (r *reports) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	store := r.store
	r.store = nil
	return store.Close()
}

// Append stores a report; it is an error before the history is open, so that the gateway sends the buckets again.
func (r *reports) Append(now time.Time, report reportserver.Report) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.store == nil {
		return newError("append report", kindStopped, "the report history is not open")
	}
	r.demands[report.VM] = gatewayDemand{at: now, rates: report.Demands}
	ops := make([]storer.Op, 0, len(report.Buckets))
	for _, bucket := range report.Buckets {
		value, err := json.Marshal(bucket)
		if err != nil {
			return wrapError("encode bucket", kindDisk, err)
		}
		ops = append(ops, storer.Op{Bucket: bucketsName, Key: bucketKey(bucket), Value: value})
	}
	if len(ops) == 0 {
		return nil
	}
	if err := r.store.Write(ops...); err != nil {
		return wrapError("store buckets", kindDisk, err)
	}
	return nil
}

// bucketKey orders buckets by time; the same bucket has the same key, so that a resend changes nothing.
func bucketKey(bucket reporter.Bucket) []byte {
	key := binary.BigEndian.AppendUint64(nil, uint64(bucket.Start.Unix()))
	return append(key, bucket.VM+"\x00"+bucket.Service+"\x00"+bucket.Rank...)
}

func (r *reports) expire(now time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := uint64(now.Add(-reporter.BudgetPeriod).Unix())
	var ops []storer.Op
	err := r.store.Scan(bucketsName, func(key, _ []byte) error {
		if binary.BigEndian.Uint64(key) >= oldest {
			return errStopScan
		}
		ops = append(ops, storer.Op{Bucket: bucketsName, Key: append([]byte(nil), key...)})
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

var errStopScan = errors.New("the rest is newer")

// buckets returns the stored history.
func (r *reports) buckets() ([]reporter.Bucket, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := []reporter.Bucket{}
	if r.store == nil {
		return list, nil
	}
	err := r.store.Scan(bucketsName, func(_, value []byte) error {
		var bucket reporter.Bucket
		if err := json.Unmarshal(value, &bucket); err != nil {
			return err
		}
		list = append(list, bucket)
		return nil
	})
	return list, err
}

// demand returns the tokens per second that the availability zone's gateways report, by model.
func (r *reports) demand(now time.Time) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	sums := map[string]float64{}
	for vm, demand := range r.demands {
		if now.Sub(demand.at) > demandAge {
			delete(r.demands, vm)
			continue
		}
		for _, each := range demand.rates {
			sums[each.Model] += each.Rate
		}
	}
	return sums
}

// serveBurn answers with the availability zone's history, from which the command line computes the report.
func (r *reports) serveBurn(w http.ResponseWriter, _ *http.Request) {
	list, err := r.buckets()
	if err != nil {
		writeFailure(w, err)
		return
	}
	writeJSON(w, list)
}
