package coordinator

import (
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"sequoiaspread.example/sequoia/director"
	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/locator"
	"sequoiaspread.example/sequoia/registrar"
)

// Metrics holds the Prometheus metrics of a coordinator.
type Metrics struct {
	otherRegionAnswers *prometheus.CounterVec
}

// NewMetrics creates and registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{otherRegionAnswers: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sequoia_directory_other_region_total",
		Help: "Directory answers without a VM of the caller's region, by what is known of the host's home regions.",
	}, []string{"homes"})}
	registry.MustRegister(m.otherRegionAnswers)
	return m
}

// located is a directory answer and what it rests on.
type located struct {
	host, region, zone string
	homes              director.Homes
	state              registrar.State
	live               []fleetserver.EntryVM
	list               locator.List
}

// locateReason is the kind of a directory answer without a VM of the caller's region. The host is set only if
// the document has it, which bounds the number of reasons.
type locateReason struct {
	kind director.HomeKind
	host string
}

// recordAnswer counts and logs a directory answer that names no VM of the caller's region.
func (c *Coordinator) recordAnswer(now time.Time, answer located) {
	named := namedRegions(answer)
	if named[answer.region] > 0 {
		return
	}
	kind := answer.homes.Kind
	if c.config.Metrics != nil {
		c.config.Metrics.otherRegionAnswers.WithLabelValues(string(kind)).Inc()
	}
	reason := locateReason{kind: kind}
	if kind == director.HomesKnown || kind == director.HomesUnrestricted || kind == director.HomesNothingInCommon {
		reason.host = strings.ToLower(answer.host)
	}
	suppressed, ok := c.locateLog.Allow(now, reason)
	if !ok {
		return
	}
	message := "directory named VMs of other regions"
	if len(named) == 0 {
		message = "directory named no VM"
	}
	c.logger.WithFields(logrus.Fields{
		"host": answer.host, "caller-region": answer.region, "caller-zone": answer.zone, "homes": answer.homes.Regions,
		"reason": kind, "revision": answer.state.Revision, "version": answer.state.Version, "confirmed": c.confirmed(),
		"live": countRegions(answer.live), "named": named, "answers": suppressed + 1,
	}).Info(message)
}

func namedRegions(answer located) map[string]int {
	regions := map[string]string{}
	for _, vm := range answer.live {
		regions[vm.Name] = vm.Region
	}
	named := map[string]int{}
	for _, entry := range answer.list.Entries {
		named[regions[entry.VM]]++
	}
	return named
}

// countRegions returns the live VMs of each region that are not stopping.
func countRegions(live []fleetserver.EntryVM) map[string]int {
	counts := map[string]int{}
	for _, vm := range live {
		if !vm.Stopping {
			counts[vm.Region]++
		}
	}
	return counts
}

// confirmed reports whether a leader has confirmed the state of this process since its start.
func (c *Coordinator) confirmed() bool {
	m := c.member.Load()
	return m != nil && m.confirmed.Load()
}
