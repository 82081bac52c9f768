package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"sequoiaspread.example/sequoia/messenger"
	"sequoiaspread.example/sequoia/orderer"
	"sequoiaspread.example/sequoia/parser"
)

const (
	methodZoneReport = "zone-report"
	observeTimeout   = 2 * time.Second
	maxListBytes     = 4 << 20
)

// upstreamState is one upstream as the controllers of its availability zone see it.
type upstreamState struct {
	Name        string         `json:"name"`
	Address     netip.AddrPort `json:"address"`
	Pool        string         `json:"pool"`
	Zone        string         `json:"zone"`
	State       string         `json:"state"`
	Incarnation uint64         `json:"incarnation"`
	Loaded      []string       `json:"loaded"`
	// Reached is false when the upstream did not answer; its models are then unknown and it gets no order.
	Reached bool `json:"reached"`
}

// zoneReport is what the controllers of an availability zone tell the ordering controller.
type zoneReport struct {
	Zone      string             `json:"zone"`
	Upstreams []upstreamState    `json:"upstreams"`
	Demand    map[string]float64 `json:"demand"`
}

type listReply struct {
	VMs []upstreamState `json:"vms"`
}

type modelsReply struct {
	Data []struct {
		ID string `json:"id"`
	} `json:"data"`
}

// observer reads the platform's list and asks the engines which models they have.
type observer struct {
	node   *node
	client *http.Client
}

func newObserver(n *node) *observer {
	return &observer{node: n, client: &http.Client{Timeout: observeTimeout}}
}

func (o *observer) observe(ctx context.Context, doc *parser.Document) (zoneReport, error) {
	report := zoneReport{Zone: o.node.settings.Zone, Demand: o.node.reports.demand(time.Now())}
	var list listReply
	if err := o.get(ctx, o.node.settings.PlatformAddress, "/v1/vms", &list); err != nil {
		return report, err
	}
	for _, upstream := range list.VMs {
		pool, ok := doc.Pool(upstream.Pool)
		if !ok || pool.Kind != parser.PoolEngine || upstream.Zone != report.Zone {
			continue
		}
		var models modelsReply
		upstream.Reached = o.get(ctx, upstream.Address, "/v1/models", &models) == nil
		for _, model := range models.Data {
			upstream.Loaded = append(upstream.Loaded, model.ID)
		}
		slices.Sort(upstream.Loaded)
		report.Upstreams = append(report.Upstreams, upstream)
	}
	return report, nil
}

func (o *observer) get(ctx context.Context, address netip.AddrPort, path string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return wrapError("observe", kindUnreachable, err)
	}
	response, err := o.client.Do(request)
	if err != nil {
		return wrapError("observe", kindUnreachable, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return newError("observe", kindUnreachable, response.Status)
	}
	if err := json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxListBytes)).Decode(into); err != nil {
		return wrapError("observe", kindUnreachable, err)
	}
	return nil
}

func (o *orders) answerZoneReport(_ context.Context, params json.RawMessage) (any, error) {
	report, err := messenger.Decode[zoneReport](params)
	if err != nil {
		return nil, err
	}
	o.takeReport(time.Now(), report)
	return struct{}{}, nil
}

// upstreams returns the upstreams of all fresh reports that can take orders.
func (o *orders) upstreams(now time.Time, doc *parser.Document) []orderer.Upstream {
	var list []orderer.Upstream
	for _, zone := range sortedZones(o.reports) {
		received := o.reports[zone]
		if now.Sub(received.at) > reportMaxAge {
			continue
		}
		for _, upstream := range received.report.Upstreams {
			pool, ok := doc.Pool(upstream.Pool)
			if !ok || !upstream.Reached || upstream.State != "live" {
				continue
			}
			list = append(list, orderer.Upstream{
				Name: upstream.Name, Incarnation: upstream.Incarnation, Zone: upstream.Zone,
				AllowedModels: pool.Models, LoadedModels: upstream.Loaded, ChecksFencingToken: pool.ChecksFencingNumbers,
			})
		}
	}
	return list
}
