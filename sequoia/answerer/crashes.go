package answerer

import (
	"context"
	"crypto/sha256"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/isolator"
)

const (
	// lossTTL is how long a loss is reported to the coordinators; it tolerates the loss of two reports.
	lossTTL = 2500 * time.Millisecond
	// probeTimeout limits the wait for a new connection to an upstream that closed one early; the host of a crashed
	// upstream refuses at once.
	probeTimeout = 300 * time.Millisecond
	// maxLosses limits the number of losses in one report.
	maxLosses = 64
)

// crashTracker records the requests during which upstreams crashed, and blocks those that are known to crash upstreams.
type crashTracker struct {
	mu      sync.Mutex
	losses  map[isolator.Loss]time.Time
	blocked map[netip.AddrPort][]isolator.Fingerprint
}

func newCrashTracker() *crashTracker {
	return &crashTracker{losses: map[isolator.Loss]time.Time{}, blocked: map[netip.AddrPort][]isolator.Fingerprint{}}
}

// fingerprint identifies the content of a request, without the ID, which differs for each attempt.
func (j *job) fingerprint() isolator.Fingerprint {
	digest := sha256.New()
	_, _ = io.WriteString(digest, j.r.Method+" "+j.r.Host+j.r.RequestURI+"\n")
	_, _ = digest.Write(j.body)
	return isolator.Fingerprint(digest.Sum(nil)[:len(isolator.Fingerprint{})])
}

// blocks reports whether a coordinator has blocked a request because it crashes upstreams.
func (t *crashTracker) blocks(j *job) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.blocked) == 0 {
		return false
	}
	fingerprint := j.fingerprint()
	for _, list := range t.blocked {
		for _, each := range list {
			if each == fingerprint {
				return true
			}
		}
	}
	return false
}

// probeUpstream checks in the background whether the upstream of a request crashed, after it sent no complete response.
func (t *crashTracker) probeUpstream(j *job) {
	j.crashed = true
	if j.upstream.ID == "" {
		return
	}
	address := j.upstream.Address.String()
	at := time.Now()
	upstream := j.upstream.ID
	parts := j.partFingerprints()
	loss := isolator.Loss{Fingerprint: j.fingerprint(), Upstream: uint32(dispatcher.UpstreamKeyOf(upstream))}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			_ = conn.Close()
			return
		}
		t.add(loss)
		j.a.parts.addCrash(at, loss, parts)
		j.a.config.Logger.WithFields(logrus.Fields{
			"request": j.info.ID, "upstream": upstream, "fingerprint": shortName(loss.Fingerprint), "parts": shortNames(parts),
		}).Info("upstream crashed under the request")
	}()
}

func (t *crashTracker) add(loss isolator.Loss) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.losses) < maxLosses {
		t.losses[loss] = time.Now()
	}
}

// Losses returns the upstreams that crashed lately while they ran requests of this VM's callers.
func (a *Answerer) Losses() []isolator.Loss {
	tracker := a.crashes
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	var list []isolator.Loss
	for loss, at := range tracker.losses {
		if time.Since(at) > lossTTL {
			delete(tracker.losses, loss)
			continue
		}
		list = append(list, loss)
	}
	return list
}

// SetBlocked replaces the fingerprints of the requests that a coordinator blocks.
func (a *Answerer) SetBlocked(coordinator netip.AddrPort, fingerprints []isolator.Fingerprint) {
	tracker := a.crashes
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if len(fingerprints) == 0 {
		delete(tracker.blocked, coordinator)
		return
	}
	tracker.blocked[coordinator] = fingerprints
}
