package coordinator

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"sequoiaspread.example/sequoia/storer"
)

const (
	bucketVersions = "versions"
	// versionsInterval is how often the versions that serve are compared with those on the disk.
	versionsInterval = 100 * time.Millisecond
)

var keyVersions = []byte("seen")

// versionStore keeps on the disk which versions serve, so that a restart of all processes does not forget that there was
// a single one. It writes only when they change.
type versionStore interface {
	Write(ops ...storer.Op) error
	Read(bucket string, key []byte) ([]byte, error)
}

// storedVersions is what the disk holds.
type storedVersions struct {
	// Complete is set if no version was missed for as long as callers come back to a stream.
	Complete bool                `json:"complete"`
	Versions map[string][]string `json:"versions"`
	// Established are those that may begin streams as far as this process goes, also at once after a restart.
	Established map[string][]string `json:"established,omitempty"`
}

// loadVersions takes over the versions on the disk. As far as this process knows, no other served before its restart.
func (c *Coordinator) loadVersions(store versionStore) ([]byte, error) {
	data, err := store.Read(bucketVersions, keyVersions)
	if err != nil || data == nil {
		return nil, err
	}
	var stored storedVersions
	if err := json.Unmarshal(data, &stored); err != nil {
		return nil, eris.Wrap(err, "decode the versions")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeVersions(time.Now(), stored.Versions)
	c.pins.Restore(time.Now(), stored.Established)
	if stored.Complete {
		c.pins.WatchedSince(time.Time{})
	}
	return data, nil
}

// keepVersions writes the versions that serve to the disk until the context is cancelled.
func (c *Coordinator) keepVersions(ctx context.Context, store versionStore) {
	saved, err := c.loadVersions(store)
	if err != nil {
		c.logger.WithError(err).Warn("reading the versions of streams failed; callers may have to begin streams anew")
	}
	ticker := time.NewTicker(versionsInterval)
	defer ticker.Stop()
	for failed := false; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		stored := c.versionsToStore()
		data, err := json.Marshal(stored)
		if err == nil && bytes.Equal(data, saved) {
			c.markKept(stored.Versions)
			continue
		}
		if err == nil {
			err = store.Write(storer.Op{Bucket: bucketVersions, Key: keyVersions, Value: data})
		}
		if err == nil {
			saved = data
			c.markKept(stored.Versions)
		} else if !failed {
			c.logger.WithError(err).Warn("writing the versions that serve failed; trying again")
		}
		failed = err != nil
	}
}

// markKept records that the disk holds versions.
func (c *Coordinator) markKept(versions map[string][]string) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pins.Keep(now, versions)
}

// versionsToStore returns the versions that were seen lately.
func (c *Coordinator) versionsToStore() storedVersions {
	now := time.Now()
	c.mu.Lock()
	stored := storedVersions{
		Complete: c.pins.Complete(now), Versions: c.pins.AllVersions(now), Established: c.pins.Established(now),
	}
	c.mu.Unlock()
	for _, versions := range []map[string][]string{stored.Versions, stored.Established} {
		for _, list := range versions {
			slices.Sort(list)
		}
	}
	return stored
}
