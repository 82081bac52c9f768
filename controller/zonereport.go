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
	"sequoiaspread.example/sequoia/verifier"
)

const (
	methodZoneReport = "zone-report"
	observeTimeout   = 2 * time.Second
	maxListBytes     = 4 << 20
)

// upstreamState is the state of an upstream as observed by the controllers of its availability zone.
type upstreamState struct {
	Name        string         `json:"name"`
	Address     netip.AddrPort `json:"address"`
	Pool        string         `json:"pool"`
	Zone        string         `json:"zone"`
	State       string         `json:"state"`
	Incarnation uint64         `json:"incarnation"`
	Loaded      []string       `json:"loaded"`
	// Reachable is false if the upstream did not respond; its models are then unknown and it is sent no orders.
	Reachable bool `json:"reached"`
}

// zoneReport is the report of an availability zone's controllers to the lease holder.
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

// observer lists the upstreams from the platform and queries the engines for their loaded models.
type observer struct {
	node   *node
	client *http.Client
}

func newObserver(n *node) *observer {
	transport := verifier.NewTransport(verifier.TransportConfig{Base: http.DefaultTransport.(*http.Transport)})
	return &observer{node: n, client: &http.Client{Timeout: observeTimeout, Transport: transport}}
}

func (o *observer) observe(ctx context.Context, doc *parser.Document) (zoneReport, error) {
	report := zoneReport{Zone: o.node.settings.Zone, Demand: o.node.reports.demand(time.Now())}
	var list listReply
	if err := o.fetchJSON(ctx, o.node.settings.PlatformAddress, "/v1/vms", &list); err != nil {
		return report, err
	}
	for _, upstream := range list.VMs {
		pool, ok := doc.Pool(upstream.Pool)
		if !ok || pool.Kind != parser.PoolEngine || upstream.Zone != report.Zone {
			continue
		}
		var models modelsReply
		upstream.Reachable = o.fetchJSON(ctx, upstream.Address, "/v1/models", &models) == nil
		for _, model := range models.Data {
			upstream.Loaded = append(upstream.Loaded, model.ID)
		}
		slices.Sort(upstream.Loaded)
		report.Upstreams = append(report.Upstreams, upstream)
	}
	return report, nil
}

func (o *observer) fetchJSON(ctx context.Context, address netip.AddrPort, path string, target any) error {
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
	text, err := verifier.ReadBody(response.Body, maxListBytes)
	if err != nil {
		return wrapError("observe", kindUnreachable, err)
	}
	if err := json.Unmarshal(text, target); err != nil {
		return wrapError("observe", kindUnreachable, err)
	}
	return nil
}

func (o *orderManager) handleZoneReport(_ context.Context, params json.RawMessage) (any, error) {
	report, err := messenger.Decode[zoneReport](params)
	if err != nil {
		return nil, err
	}
	o.acceptReport(time.Now(), report)
	return struct{}{}, nil
}

// upstreams returns the live, reachable upstreams of all reports that are not stale; the caller must hold the lock.
func (o *orderManager) upstreams(now time.Time, doc *parser.Document) []orderer.Upstream {
	var list []orderer.Upstream
	for _, zone := range sortedZones(o.zoneReports) {
		received := o.zoneReports[zone]
		if now.Sub(received.receivedAt) > reportMaxAge {
			continue
		}
		for _, upstream := range received.report.Upstreams {
			pool, ok := doc.Pool(upstream.Pool)
			if !ok || !upstream.Reachable || upstream.State != "live" {
				continue
			}
			list = append(list, orderer.Upstream{
				Name: upstream.Name, Incarnation: upstream.Incarnation, Zone: upstream.Zone,
				AllowedModels: pool.Models, LoadedModels: upstream.Loaded, ChecksFencingToken: pool.ChecksFencingTokens,
			})
		}
	}
	return list
}
