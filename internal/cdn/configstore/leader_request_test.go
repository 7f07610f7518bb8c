package configstore

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The steps and the end of a request to the leader in all cases. It must end as answered only after a clear reply and as not sent
// only if it was never sent; a request that was forwarded must not be forwarded again.
func TestQuestionSteps(t *testing.T) {
	type step struct {
		late      bool
		answer    bool // the step is a reply; otherwise it is news of the leader
		clear     bool
		here      bool
		at        string
		want      StepKind
		wantTo    string
		wantAfter time.Duration
	}
	leads, elsewhere, nobody := step{here: true, want: HandleLocally}, step{at: "b", want: ForwardToLeader, wantTo: "b"},
		step{want: WaitForLeader}
	unclear := step{answer: true, want: RetryLater, wantAfter: leaderRetryInterval}
	good := step{answer: true, clear: true, want: EndAnswered}
	cases := []struct {
		name      string
		forwarded bool
		steps     []step
	}{
		{"answered here", false, []step{leads, good}},
		{"answered by another machine", false, []step{elsewhere, good}},
		{"answered by the next leader", false, []step{nobody, elsewhere, unclear, nobody, leads, good}},
		{"no leader in time", false, []step{nobody, {late: true, want: EndNotSent}}},
		{"no clear reply in time", false, []step{elsewhere, {late: true, answer: true, want: EndUnknown}}},
		{"no time for a second attempt", false, []step{elsewhere, unclear, {late: true, here: true, want: EndUnknown}}},
		{"forwarded and answered", true, []step{leads, good}},
		{"forwarded to the next leader before its election", true, []step{nobody, leads, good}},
		{"forwarded to a follower", true, []step{{at: "c", want: EndNotSent}}},
		{"forwarded without a clear reply", true, []step{leads, {answer: true, want: EndUnknown}}},
	}
	for _, c := range cases {
		now := time.Now()
		q := NewLeaderRequest(c.forwarded, now.Add(time.Second))
		for i, s := range c.steps {
			at := now
			if s.late {
				at = now.Add(time.Second)
			}
			var got Step
			if s.answer {
				got = q.OnReply(at, s.clear)
			} else {
				got = q.OnLeader(at, s.here, s.at)
			}
			assert.Equal(t, got, Step{Kind: s.want, To: s.wantTo, After: s.wantAfter}, "%s, step %d", c.name, i)
			assert.Equal(t, got.IsFinal(), i == len(c.steps)-1, "%s, step %d", c.name, i)
		}
	}
}
