package clusterstate

import (
	"bytes"
	"encoding/gob"
	"testing"

	"gotest.tools/v3/assert"
)

// fixUsageCommand returns the command that makes the counts of a window final.
func fixUsageCommand(epoch uint64, round int64, counts map[string]int64) Command {
	return Command{Epoch: epoch, FixUsage: &UsageReport{Round: round, Counts: counts}}
}

// The counts of a window become final once, under the newest epoch of the duty, whoever holds it. A restored snapshot and a replica
// that follows by changes agree.
func TestUsageIsFixedOnce(t *testing.T) {
	cases := []struct {
		name    string
		command Command
		status  int
		fixed   int64
		pending []UsageReport
	}{
		{"a holder is appointed", Command{Appoint: "10.0.0.1"}, StatusOK, 0, nil},
		{"the first window", fixUsageCommand(1, 70, map[string]int64{"a": 4}), StatusOK, 70, []UsageReport{{70, map[string]int64{"a": 4}}}},
		{"the same window, another count", fixUsageCommand(1, 70, map[string]int64{"a": 5}), StatusOK, 70,
			[]UsageReport{{70, map[string]int64{"a": 4}}}},
		{"another holder is appointed", Command{Appoint: "10.0.0.2"}, StatusOK, 70, []UsageReport{{70, map[string]int64{"a": 4}}}},
		{"the old holder reports", fixUsageCommand(1, 71, nil), StatusStale, 70, []UsageReport{{70, map[string]int64{"a": 4}}}},
		{"the old holder acknowledges", Command{Epoch: 1, UsageTaken: 70}, StatusStale, 70, []UsageReport{{70, map[string]int64{"a": 4}}}},
		{"the new holder reports the old window again", fixUsageCommand(4, 70, map[string]int64{"a": 9}), StatusOK, 70,
			[]UsageReport{{70, map[string]int64{"a": 4}}}},
		{"an empty window", fixUsageCommand(4, 71, map[string]int64{}), StatusOK, 71, []UsageReport{{70, map[string]int64{"a": 4}}, {71, nil}}},
		{"an older window", fixUsageCommand(4, 69, nil), StatusStale, 71, []UsageReport{{70, map[string]int64{"a": 4}}, {71, nil}}},
		{"taken", Command{Epoch: 4, UsageTaken: 70}, StatusOK, 71, []UsageReport{{71, nil}}},
		{"accepted again", Command{Epoch: 4, UsageTaken: 70}, StatusOK, 71, []UsageReport{{71, nil}}},
		{"none is left", Command{Epoch: 4, UsageTaken: 71}, StatusOK, 71, nil},
	}
	h, follower := NewHistory(New()), NewHistory(New())
	for i, c := range cases {
		before := h.State.Clone()
		_, out, err := h.Apply(uint64(i+1), c.command.Encode())
		assert.NilError(t, err)
		assert.Equal(t, out.Status, c.status, "%s: %s", c.name, out.Text)
		assert.Equal(t, h.State.Usage.Fixed, c.fixed, c.name)
		assert.DeepEqual(t, h.State.Usage.Pending, c.pending)
		assert.Assert(t, before.Index < h.State.Index)
		for _, change := range h.Since(follower.State.Index).Changes {
			follower.Apply(change.Index, change.Data)
		}
		if follower.State.Index == 0 {
			follower = NewHistory(h.State.Clone())
		}
		assert.DeepEqual(t, follower.State.Usage, h.State.Usage)
		var snapshot bytes.Buffer
		restored := New()
		assert.NilError(t, gob.NewEncoder(&snapshot).Encode(h.State))
		assert.NilError(t, gob.NewDecoder(&snapshot).Decode(restored))
		assert.DeepEqual(t, restored.Usage, h.State.Usage)
	}
}

// The number of windows that wait for the platform is bounded, and a clone of the state does not change.
func TestPendingUsageIsBounded(t *testing.T) {
	s := New()
	for round := int64(1); round <= MaxPendingUsage; round++ {
		s.Apply(uint64(round), fixUsageCommand(0, round, nil))
	}
	kept := s.Clone()
	s.Apply(MaxPendingUsage+1, fixUsageCommand(0, MaxPendingUsage+1, nil))
	assert.Equal(t, len(s.Usage.Pending), MaxPendingUsage)
	assert.Equal(t, s.Usage.Pending[0].Round, int64(2))
	assert.Equal(t, kept.Usage.Pending[0].Round, int64(1))
	many := map[string]int64{}
	for i := range MaxUsageTenants + 1 {
		many[string(rune(i+0x4e00))] = 1
	}
	assert.Equal(t, s.Apply(MaxPendingUsage+2, fixUsageCommand(0, MaxPendingUsage+2, many)).Status, StatusInvalid)
}
