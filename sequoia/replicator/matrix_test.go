package replicator_test

import "testing"

func TestMatrix(t *testing.T) {
	t.Run("configuration/agreement/random-schedules", testSchedules)
}
