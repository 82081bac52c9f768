package main

import (
	"slices"
	"strings"
	"sync"
	"time"

	"sequoiaspread.example/sequoia/configserver"
)

const (
	// pollerRetention is how long a process stays listed after its last poll.
	pollerRetention = 10 * time.Minute
	// maxPollers limits the memory used for polls; the largest planned environment has 360 nodes.
	maxPollers = 4096
)

// pollers records which processes polled recently and which document version each had.
type pollers struct {
	mu   sync.Mutex
	last map[string]lastPoll
}

type lastPoll struct {
	poll       configserver.Poll
	receivedAt time.Time
}

func newPollers() *pollers {
	return &pollers{last: map[string]lastPoll{}}
}

func (p *pollers) record(poll configserver.Poll) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.last[poll.VM]; known || len(p.last) < maxPollers {
		p.last[poll.VM] = lastPoll{poll: poll, receivedAt: time.Now()}
	}
}

func (p *pollers) list() []configserver.Poller {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []configserver.Poller{}
	for vm, entry := range p.last {
		age := time.Since(entry.receivedAt)
		if age > pollerRetention {
			delete(p.last, vm)
			continue
		}
		list = append(list, configserver.Poller{VM: vm, Zone: entry.poll.Zone, Version: entry.poll.Have, Age: age})
	}
	slices.SortFunc(list, func(a, b configserver.Poller) int { return strings.Compare(a.VM, b.VM) })
	return list
}
