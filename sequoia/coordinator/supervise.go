package coordinator

import (
	"context"
	"errors"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"sequoiaspread.example/sequoia/agreer"
	"sequoiaspread.example/sequoia/storer"
)

const (
	storeFile = "coordinator.db"
	// leadershipTransferTimeout limits how long a stopping leader waits for another voter to take over.
	leadershipTransferTimeout  = 2 * time.Second
	leadershipTransferInterval = 50 * time.Millisecond
	// diskRetryDelay is the delay before the disk is opened again after a failed write.
	diskRetryDelay = 500 * time.Millisecond
)

// superviseMember runs the consensus member and restarts it after a disk failure. After a failed write the state on
// disk is unknown, so the member ends and a new one starts from what the disk holds. The directory of entry VMs stays
// available meanwhile.
func (c *Coordinator) superviseMember(ctx context.Context) error {
	initialStart := c.config.InitialStart
	for {
		err := c.runMembers(ctx, initialStart)
		if ctx.Err() != nil || err == nil {
			return err
		}
		c.member.Store(nil)
		c.logger.WithError(err).Error("consensus member failed; restarting it from disk")
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(diskRetryDelay):
		}
	}
}

// runMembers opens the disk and runs one member after another. A member that was replaced deletes its state and joins
// again with a new id.
func (c *Coordinator) runMembers(ctx context.Context, initialStart bool) error {
	store, err := storer.Open(storer.Config{Path: filepath.Join(c.config.DataFolder, storeFile)})
	if err != nil {
		return wrapError("open store", KindStart, err)
	}
	defer func() {
		if err := store.Close(); err != nil {
			c.logger.WithError(err).Warn("closing the store failed")
		}
	}()
	keeperCtx, stopKeeper := context.WithCancel(ctx)
	var keeper sync.WaitGroup
	keeper.Go(func() { c.keepVersions(keeperCtx, store) })
	// The keeper ends before the store is closed.
	defer keeper.Wait()
	defer stopKeeper()
	disk := agreer.NewDisk(store)
	for {
		m, err := c.newMember(disk, initialStart)
		if err != nil {
			return wrapError("load member", KindStart, err)
		}
		err = c.runMember(ctx, m)
		if !errors.Is(err, errReplaced) {
			return err
		}
		c.logger.WithField("member", string(m.id)).Warn("member was replaced; deleting its state and joining with a new id")
		if err := disk.Wipe(); err != nil {
			return wrapError("wipe member", KindStart, err)
		}
		disk = agreer.NewDisk(store)
		initialStart = false
	}
}

func (c *Coordinator) runMember(ctx context.Context, m *member) error {
	c.member.Store(m)
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return m.consensus.Run(groupCtx) })
	group.Go(func() error { return c.maintainMembership(groupCtx, m) })
	return group.Wait()
}

// transferLeadership transfers leadership to another voter before a graceful stop.
func (c *Coordinator) transferLeadership(ctx context.Context) {
	m := c.member.Load()
	if m == nil || !m.consensus.IsLeader() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leadershipTransferTimeout)
	defer cancel()
	for m.consensus.Status().Leader == "" || m.consensus.IsLeader() {
		if err := m.consensus.TransferLeadership(ctx); err != nil {
			c.logger.WithError(err).Warn("leadership transfer failed")
			return
		}
		select {
		case <-ctx.Done():
			c.logger.Warn("leadership transfer timed out")
			return
		case <-time.After(leadershipTransferInterval):
		}
	}
}
