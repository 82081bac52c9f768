package main

import (
	"slices"
	"strings"
	"sync"
	"time"

	"sequoiaspread.example/sequoia/configserver"
)

const (
	// pollerRetention is the time for which a process that stopped polling is still listed.
	pollerRetention = 10 * time.Minute
	// pollerLimit bounds the memory that polls can take; the largest planned environment has 360 nodes.
	pollerLimit = 4096
)

// pollers remembers which processes polled lately and which version they had.
type pollers struct {
	mu   sync.Mutex
	last map[string]lastPoll
}

type lastPoll struct {
	poll configserver.Poll
	at   time.Time
}

func newPollers() *pollers {
	return &pollers{last: map[string]lastPoll{}}
}

func (p *pollers) record(poll configserver.Poll) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.last[poll.VM]; known || len(p.last) < pollerLimit {
		p.last[poll.VM] = lastPoll{poll: poll, at: time.Now()}
	}
}

func (p *pollers) list() []configserver.Poller {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []configserver.Poller{}
	for vm, each := range p.last {
		age := time.Since(each.at)
		if age > pollerRetention {
			delete(p.last, vm)
			continue
		}
		list = append(list, configserver.Poller{VM: vm, Zone: each.poll.Zone, Version: each.poll.Have, Age: age})
	}
	slices.SortFunc(list, func(a, b configserver.Poller) int { return strings.Compare(a.VM, b.VM) })
	return list
}
