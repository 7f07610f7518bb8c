package registry

import (
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"cedarmast/internal/cdn/clusterstate"
	"cedarmast/internal/cdn/localnet"
	"cedarmast/internal/cdn/usage"

	"gotest.tools/v3/assert"
)

// Equal reports must encode to the same bytes, and a report without counts must have an empty object of tallies.
func TestEncodeUsage(t *testing.T) {
	cases := []struct {
		report clusterstate.UsageReport
		want   string
	}{
		{clusterstate.UsageReport{Round: 353445120, Counts: map[string]int64{"puhu251": 412, "huka270": 1}}, `{"round":353445120,"tallies":{"huka270":1,"puhu251":412}}`},
		{clusterstate.UsageReport{Round: 7}, `{"round":7,"tallies":{}}`},
	}
	for _, c := range cases {
		assert.Equal(t, string(encodeUsage(c.report)), c.want)
	}
}

// Covers each outcome of a call. Nothing may be sent if the lease check right before the write fails.
func TestPlatformCallOutcomes(t *testing.T) {
	platform := localnet.NewPlatform(time.Second)
	address, err := platform.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	defer platform.Stop()
	cases := []struct {
		name    string
		mood    localnet.PlatformBehavior
		fence   uint64
		allowed bool
		want    usage.CallOutcome
	}{
		{"forbidden", localnet.Answering, 9, false, usage.NotSent},
		{"taken", localnet.Answering, 5, true, usage.Accepted},
		{"the same report again", localnet.Answering, 5, true, usage.Accepted},
		{"busy", localnet.Busy, 5, true, usage.Busy},
		{"failing", localnet.Failing, 5, true, usage.Failed},
		{"accepted, but the connection is reset", localnet.Resetting, 6, true, usage.Unanswered},
		{"older fence", localnet.Answering, 5, true, usage.Refused},
		{"accepted, but no response", localnet.Silent, 6, true, usage.Unanswered},
	}
	client := platformClient{address: address, holder: "core-1", timeout: 150 * time.Millisecond}
	for _, c := range cases {
		platform.SetBehavior(c.mood, 0)
		step := usage.Step{Kind: usage.Send, Fence: c.fence, Report: clusterstate.UsageReport{Round: 7, Counts: map[string]int64{"a": 1}}}
		answer := client.sendReport(t.Context(), step, func() bool { return c.allowed })
		assert.Equal(t, answer.outcome, c.want, "%s: %v", c.name, answer.err)
	}
	assert.Equal(t, platform.AnswerCount(http.StatusOK), 2)
	assert.Equal(t, len(platform.Violations()), 0, "%v", platform.Violations())
	client.address = "127.0.0.1:1"
	assert.Equal(t, client.sendReport(t.Context(), usage.Step{}, func() bool { return true }).outcome, usage.NotSent)
}

func TestRetryAfter(t *testing.T) {
	for text, want := range map[string]time.Duration{"": 0, "2": 2 * time.Second, "0.3": 300 * time.Millisecond, "-1": 0, "soon": 0, "NaN": 0, "1e9": 0} {
		assert.Equal(t, retryAfter(text), want, text)
	}
}

// An answer of the platform that goes on ends the call at its bound and not at its deadline, and takes little memory.
func TestEndlessPlatformAnswer(t *testing.T) {
	for _, start := range []string{"HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nX: ", "", "HTTP/1.1 200 OK\r\n\r\n"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer l.Close()
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			for block := []byte(start); err == nil; block = []byte(strings.Repeat("x", 64<<10)) {
				_, err = conn.Write(block)
			}
		}()
		client := platformClient{address: l.Addr().String(), holder: "core-1", timeout: 10 * time.Second}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		started := time.Now()
		answer := client.sendReport(t.Context(), usage.Step{Kind: usage.Send, Fence: 1}, func() bool { return true })
		runtime.ReadMemStats(&after)
		want := usage.Unanswered
		if strings.HasSuffix(start, "\r\n\r\n") { // the head is whole, and the body is not read
			want = usage.Accepted
		}
		assert.Equal(t, answer.outcome, want, "%q: %v", start, answer.err)
		assert.Assert(t, time.Since(started) < client.timeout/2 && after.TotalAlloc-before.TotalAlloc < 8<<20, "%q: %s, %d bytes", start, time.Since(started), after.TotalAlloc-before.TotalAlloc)
	}
}
