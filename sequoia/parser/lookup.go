package parser

import "slices"

// RegionOf returns the name of the region of an availability zone, or "" if no region contains it.
func (d *Document) RegionOf(zone string) string {
	for _, region := range d.Regions {
		if slices.Contains(region.Zones, zone) {
			return region.Name
		}
	}
	return ""
}

// Zones returns the names of all availability zones in document order.
func (d *Document) Zones() []string {
	var zones []string
	for _, region := range d.Regions {
		zones = append(zones, region.Zones...)
	}
	return zones
}

// VM returns the entry VM with the given name.
func (d *Document) VM(name string) (VM, bool) {
	return find(d.VMs, func(v VM) bool { return v.Name == name })
}

// Rank returns the rank with the given name.
func (d *Document) Rank(name string) (Rank, bool) {
	return find(d.Ranks, func(r Rank) bool { return r.Name == name })
}

// RankIndex returns the index of a rank, 0 for the most urgent, or -1 if it does not exist.
func (d *Document) RankIndex(name string) int {
	return slices.IndexFunc(d.Ranks, func(r Rank) bool { return r.Name == name })
}

// Pool returns the pool with the given name.
func (d *Document) Pool(name string) (Pool, bool) {
	return find(d.Pools, func(p Pool) bool { return p.Name == name })
}

// Service returns the service with the given name.
func (d *Document) Service(name string) (Service, bool) {
	return find(d.Services, func(s Service) bool { return s.Name == name })
}

// Organisation returns the organisation with the given name.
func (d *Document) Organisation(name string) (Organisation, bool) {
	return find(d.Organisations, func(o Organisation) bool { return o.Name == name })
}

// OrganisationByKey returns the organisation whose key has the given SHA-256 digest in hexadecimal.
func (d *Document) OrganisationByKey(digest string) (Organisation, bool) {
	return find(d.Organisations, func(o Organisation) bool { return o.KeyDigest == digest })
}

// ServiceForModel returns the first service whose pool serves a model.
func (d *Document) ServiceForModel(model string) (Service, bool) {
	return find(d.Services, func(s Service) bool {
		pool, ok := d.Pool(s.Pool)
		return ok && slices.Contains(pool.Models, model)
	})
}

// Operation returns the declared operation for a method and path. An undeclared operation is idempotent only if its
// method is safe according to HTTP.
func (s Service) Operation(method, path string) Operation {
	op, ok := find(s.Operations, func(o Operation) bool { return o.Method == method && o.Path == path })
	if ok {
		return op
	}
	safe := method == "GET" || method == "HEAD" || method == "OPTIONS"
	return Operation{Method: method, Path: path, Idempotent: safe}
}

func find[T any](items []T, match func(T) bool) (T, bool) {
	for _, item := range items {
		if match(item) {
			return item, true
		}
	}
	var zero T
	return zero, false
}
