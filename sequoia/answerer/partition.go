package answerer

import (
	"time"

	"sequoiaspread.example/sequoia/fleetserver"
	"sequoiaspread.example/sequoia/forwarder"
)

// checkPartition connects to a region that seems partitioned until one of its VMs accepts or refuses a connection. Without
// that, the region would get no requests for unreachableBackoff although its VMs may be back long before.
func (a *Answerer) checkPartition(region string) {
	if a.reachability.startChecking(time.Now(), region, entriesOf(region, *a.otherRegionVMs.Load())) {
		a.config.Logger.WithField("region", region).Info("region counts as partitioned")
		go a.runPartitionCheck(region)
	}
}

func (a *Answerer) runPartitionCheck(region string) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		entry, partitioned := a.reachability.checkTarget(time.Now(), region, entriesOf(region, *a.otherRegionVMs.Load()))
		if !partitioned {
			a.config.Logger.WithField("region", region).Info("region no longer counts as partitioned")
			return
		}
		a.checkConnection(entry)
		select {
		case <-a.drainCtx.Done():
			return
		case <-ticker.C:
		}
	}
}

// checkConnection records whether an entry VM accepts or refuses a connection. One that times out is no news.
func (a *Answerer) checkConnection(entry fleetserver.EntryVM) {
	remote := target{name: entry.Name, region: entry.Region, address: entry.PeerAddress}
	triedAt := time.Now()
	err := a.config.Client.Probe(a.drainCtx, entry.PeerAddress)
	switch {
	case err == nil:
		a.reachability.recordSuccess(triedAt, remote)
	case forwarder.PeerAnswered(err):
		a.reachability.recordRefusal(time.Now(), triedAt, remote)
	}
}
