package answerer

import (
	"context"
	"crypto/sha256"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"sequoiaspread.example/sequoia/dispatcher"
	"sequoiaspread.example/sequoia/isolator"
)

const (
	// lossTime is how long a loss is told to the coordinators; it covers the loss of two reports.
	lossTime = 2500 * time.Millisecond
	// aliveTimeout is the wait for a new connection to an upstream that broke off; a dead one refuses at once.
	aliveTimeout = 300 * time.Millisecond
	// maxLosses bounds the losses of one report.
	maxLosses = 64
)

// suspects notes the requests under which upstreams died, and refuses those that crash upstreams.
type suspects struct {
	mu      sync.Mutex
	losses  map[isolator.Loss]time.Time
	refused map[netip.AddrPort][]isolator.Fingerprint
}

func newSuspects() *suspects {
	return &suspects{losses: map[isolator.Loss]time.Time{}, refused: map[netip.AddrPort][]isolator.Fingerprint{}}
}

// fingerprint identifies what a caller asks for, without the id that each attempt has of its own.
func (j *job) fingerprint() isolator.Fingerprint {
	digest := sha256.New()
	_, _ = io.WriteString(digest, j.r.Method+" "+j.r.Host+j.r.RequestURI+"\n")
	_, _ = digest.Write(j.body)
	return isolator.Fingerprint(digest.Sum(nil)[:len(isolator.Fingerprint{})])
}

// refuses reports whether a coordinator says that a request crashes upstreams.
func (s *suspects) refuses(j *job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.refused) == 0 {
		return false
	}
	own := j.fingerprint()
	for _, list := range s.refused {
		for _, each := range list {
			if each == own {
				return true
			}
		}
	}
	return false
}

// note looks in the background whether the upstream of a request died, once it broke off.
func (s *suspects) note(j *job) {
	if j.at.ID == "" {
		return
	}
	address := j.at.Address.String()
	loss := isolator.Loss{Fingerprint: j.fingerprint(), Upstream: uint32(dispatcher.UpstreamKeyOf(j.at.ID))}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), aliveTimeout)
		defer cancel()
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			_ = conn.Close()
			return
		}
		s.add(loss)
	}()
}

func (s *suspects) add(loss isolator.Loss) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.losses) < maxLosses {
		s.losses[loss] = time.Now()
	}
}

// Losses returns the upstreams that died lately under requests of this VM's callers.
func (a *Answerer) Losses() []isolator.Loss {
	s := a.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []isolator.Loss
	for loss, at := range s.losses {
		if time.Since(at) > lossTime {
			delete(s.losses, loss)
			continue
		}
		list = append(list, loss)
	}
	return list
}

// SetRefused replaces the fingerprints that a coordinator refuses.
func (a *Answerer) SetBlocked(coordinator netip.AddrPort, refused []isolator.Fingerprint) {
	s := a.suspects
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(refused) == 0 {
		delete(s.refused, coordinator)
		return
	}
	s.refused[coordinator] = refused
}
