package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiaspread.example/sequoia/promoter"
)

func TestMatrixConsensus(t *testing.T) {
	// These two measure elapsed times, so they do not run in parallel with others.
	t.Run("configuration/snapshot/restart-after-1000-changes", testRestartAfterChanges)
	t.Run("configuration/poll/one-percent-loss", testPollersWithLoss)
	for name, test := range map[string]func(*testing.T){
		"configuration/promote/operators-race-over-http":         testOperatorsRace,
		"configuration/store/failed-fsync":                       func(t *testing.T) { testStoreFault(t, syscall.EIO) },
		"configuration/store/disk-full":                          func(t *testing.T) { testStoreFault(t, syscall.ENOSPC) },
		"configuration/store/torn-record":                        testTornRecord,
		"configuration/replace/disk-lost":                        testDiskLost,
		"configuration/replace/document-changes-controllers":     testDocumentChangesControllers,
		"configuration/enforce/controller-restarts-alone":        testRestartAlone,
		"configuration/enforce/diskless-restart-in-cut-off-zone": testDisklessRestart,
		"at-most-once/new-epoch/member-still-in-agreement":       testEpochNeedsRetiredMembers,
		"planned-stop/controller/requests-in-progress":           testRequestsInProgress,
		"planned-stop/controller/leader-stops":                   testLeaderStops,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t)
		})
	}
}

// Guards against requests accepted without the operator key, two documents under one version, a resend that takes
// effect twice, and a follower that cannot promote.
func testOperatorsRace(t *testing.T) {
	c := newCluster(t, 6)
	c.startAll()
	leader := c.leader()
	follower := c.otherVoter(leader)
	status, _ := c.request(follower, http.MethodGet, "/v1/status", testKey+"x", nil)
	assert.Equal(t, status, http.StatusUnauthorized)
	body := promotionBody{Version: 2, Document: c.documentVersion(2, "ann"), Operator: "ann", RequestID: "r-1"}
	status, problem := c.request(follower, http.MethodPost, "/v1/promotions", testKey, body)
	assert.Equal(t, status, http.StatusUnprocessableEntity)
	assert.Equal(t, problem["type"], "urn:sequoiaspread:problem:no-trial")
	status, _ = c.request(leader, http.MethodPost, "/v1/trials", testKey, trialBody{Document: body.Document, Operator: "ann", RequestID: "t-1"})
	assert.Equal(t, status, http.StatusOK)
	body.RequestID = "r-2"
	for range 2 {
		status, reply := c.request(follower, http.MethodPost, "/v1/promotions", testKey, body)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, reply["result"], "accepted")
	}
	body = promotionBody{Version: 2, Document: c.documentVersion(2, "bob"), Operator: "bob", RequestID: "r-3", WithoutTrial: true}
	status, problem = c.request(leader, http.MethodPost, "/v1/promotions", testKey, body)
	assert.Equal(t, status, http.StatusConflict)
	assert.Equal(t, problem["winner"].(map[string]any)["operator"], "ann")
	status, problem = c.request(leader, http.MethodPost, "/v1/promotions", testKey, promotionBody{Version: 3, Document: "x = 1", Operator: "bob", RequestID: "r-4"})
	assert.Equal(t, status, http.StatusUnprocessableEntity)
	assert.Assert(t, len(problem["faults"].([]any)) > 0)
}

// Guards against a membership that does not follow the controllers and voters of the document automatically.
func testDocumentChangesControllers(t *testing.T) {
	c := newCluster(t, 6)
	c.startAll()
	leader := c.leader()
	removed := c.otherVoter(leader).settings
	c.stop(removed.VM)
	address := fmt.Sprintf("controller-address = %q\n", removed.ControllerAddress)
	c.document = strings.Replace(c.document, address+"voter = true\n", "", 1)
	address = fmt.Sprintf("controller-address = %q\n", c.settings["aswan-a-2"].ControllerAddress)
	c.document = strings.Replace(c.document, address, address+"voter = true\n", 1)
	_, err := c.promote(leader, 2, "ann")
	assert.NilError(t, err)
	c.eventually("the membership to match the document", func() bool {
		membership := c.leader().node.consensus.Status().Membership
		return membership.IsVoter("aswan-a-2#1") && membership.IsRetired(initialMemberID(removed.VM)) && !membership.IsJoint()
	})
	assert.Equal(t, len(c.leader().node.consensus.Status().Membership.Voters), 5)
}

// Guards against starting a new epoch, which makes earlier keys unknown, while a member may still hold their records.
func testEpochNeedsRetiredMembers(t *testing.T) {
	c := newCluster(t, 1)
	c.startAll()
	_, err := c.leader().node.Propose(context.Background(), promoter.Command{StartEpoch: &promoter.StartEpoch{
		Zone: "cairo-a", PreviousEpoch: 1, PreviousView: 1, Lost: []string{"cairo-a-1#1"}, Primary: "cairo-a-1#2", Members: []string{"cairo-a-1#2"},
	}})
	var controllerErr *controllerError
	assert.Assert(t, errors.As(err, &controllerErr) && controllerErr.kind == kindRefused, "got %v", err)
}
