package fleetserver

import (
	"context"
	"net/netip"

	"sequoiaspread.example/sequoia/pinner"
)

// Streams are the keys of streams that began, by service and version.
type Streams map[string]map[string][]pinner.Key

// NewStreams groups records.
func NewStreams(records []pinner.Record) Streams {
	streams := Streams{}
	for _, record := range records {
		if streams[record.Service] == nil {
			streams[record.Service] = map[string][]pinner.Key{}
		}
		streams[record.Service][record.Version] = append(streams[record.Service][record.Version], record.Key)
	}
	return streams
}

// Records returns the records of the streams.
func (s Streams) Records() []pinner.Record {
	var records []pinner.Record
	for service, versions := range s {
		for version, keys := range versions {
			for _, key := range keys {
				records = append(records, pinner.Record{Key: key, Service: service, Version: version})
			}
		}
	}
	return records
}

// StreamQuery asks which version began a stream of a service.
type StreamQuery struct {
	Service string     `json:"service"`
	Key     pinner.Key `json:"key"`
}

// StreamVersion is the answer to a StreamQuery.
type StreamVersion struct {
	// Version is set with Found and Sole.
	Version string `json:"version,omitempty"`
	// Found means that the version which began the stream is known.
	Found bool `json:"found,omitempty"`
	// Sole means that the service has had a single version for as long as callers come back.
	Sole bool `json:"sole,omitempty"`
	// Mixed means that several versions were seen lately.
	Mixed bool `json:"mixed,omitempty"`
}

// AddStreams tells a coordinator which streams began at which version.
func (c *Client) AddStreams(ctx context.Context, coordinator netip.AddrPort, streams Streams) error {
	var reply struct{}
	return c.pool.Client(coordinator).Call(ctx, methodAddStreams, streams, &reply)
}

// FindStream asks a coordinator which version began a stream.
func (c *Client) FindStream(ctx context.Context, coordinator netip.AddrPort, query StreamQuery) (StreamVersion, error) {
	var reply StreamVersion
	err := c.pool.Client(coordinator).Call(ctx, methodFindStream, query, &reply)
	return reply, err
}
