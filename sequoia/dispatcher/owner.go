package dispatcher

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// ownerOf returns the entry VM that the hash of names and of an upstream chooses.
func ownerOf(members []Member, id string) string {
	var owner string
	var highest uint64
	for _, member := range members {
		if weight := xxhash.Sum64String(member.Name + "/" + id); owner == "" || weight > highest {
			owner, highest = member.Name, weight
		}
	}
	return owner
}

// Owner returns the entry VM that sends long reads to the upstream which reads the beginning of a request, so that one
// VM knows all of them and lets them follow each other. It is of the upstream's availability zone if one is live there.
func (d *Dispatcher) Owner(now time.Time, request Request) (string, bool) {
	limits := d.limits[request.Service]
	if !limits.Engine || request.prompt() < longRead {
		return "", false
	}
	var usable []*row
	for _, r := range d.services[request.Service] {
		if d.usable(now, r, limits) {
			usable = append(usable, r)
		}
	}
	reader := readersOf(request, usable).first
	if reader == nil {
		return "", false
	}
	var near []Member
	for _, member := range d.fleet {
		if member.Zone == reader.Zone {
			near = append(near, member)
		}
	}
	if len(near) == 0 {
		near = d.fleet
	}
	owner := ownerOf(near, reader.ID)
	return owner, owner != ""
}

// prompt is the number of tokens of the whole prompt.
func (r Request) prompt() int {
	tokens := 0
	for _, part := range r.Parts {
		tokens += part.Tokens
	}
	return tokens
}
