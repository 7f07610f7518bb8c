package usage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testWindow = 5 * time.Second

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// A request must be counted once, in the window of the first attempt that may have run; a request that servers reject
// is not counted.
func TestRequestIsCountedOnce(t *testing.T) {
	type step struct {
		begun  float64 // 0: the server rejects the attempt
		tenant string
	}
	cases := []struct {
		name  string
		steps []step
		want  map[int64]Counts
	}{
		{"runs", []step{{1, "a"}}, map[int64]Counts{200: {"a": 1}}},
		{"rejected by the server", []step{{1, "a"}, {}}, map[int64]Counts{}},
		{"rejected, then runs in the next window", []step{{1, "a"}, {}, {6, "a"}}, map[int64]Counts{201: {"a": 1}}},
		{"a second attempt in parallel", []step{{1, "a"}, {6, "a"}}, map[int64]Counts{200: {"a": 1}}},
		{"a second attempt in parallel, rejected", []step{{1, "a"}, {6, "a"}, {}}, map[int64]Counts{200: {"a": 1}}},
		{"its key moves to another tenant between two attempts", []step{{1, "a"}, {}, {2, "b"}}, map[int64]Counts{200: {"b": 1}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Time{}
			m := NewMeter("edge-1", "life", testWindow)
			request := NewRequestCount(m, func() time.Time { return now })
			for _, s := range c.steps {
				if s.begun == 0 {
					request.UncountAttempt()
				} else {
					now = at(s.begun)
					request.CountAttempt(s.tenant)
				}
			}
			assert.DeepEqual(t, m.Report(at(20)).Windows, c.want)
		})
	}
}

// A report must be cumulative over the windows that are not fixed and say which of them are final; fixed windows accept
// no counts.
func TestMeterReport(t *testing.T) {
	m := NewMeter("edge-1", "life", testWindow)
	m.Count("a", at(1))
	first := m.Report(at(5.5))
	assert.Equal(t, first.Final, int64(199), "a window settles for a second after its end")
	m.Count("a", at(6))
	second := m.Report(at(6.1))
	assert.Equal(t, second.Final, int64(200))
	assert.DeepEqual(t, second.Windows, map[int64]Counts{200: {"a": 1}, 201: {"a": 1}})
	assert.Assert(t, second.Sequence > first.Sequence)
	m.DropFixed(200)
	m.Count("a", at(1))
	m.Withdraw("a", 200)
	assert.DeepEqual(t, m.Report(at(12)).Windows, map[int64]Counts{201: {"a": 1}})
}

// Windows that are never fixed must be dropped, the oldest first.
func TestMeterIsBounded(t *testing.T) {
	m := NewMeter("edge-1", "life", testWindow)
	for k := range maxWindows + 3 {
		m.Count("a", at(float64(k)*testWindow.Seconds()))
	}
	windows := m.Report(at(0)).Windows
	assert.Equal(t, len(windows), maxWindows)
	_, oldest := windows[200]
	assert.Assert(t, !oldest)
}
