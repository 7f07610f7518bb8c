package configstore

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Every way of a question: what is done at each step and how it ends. It ends as answered only by a clear answer, says that nothing was begun only
// if nobody was asked, and one that was forwarded goes no further.
func TestEveryWayOfAQuestion(t *testing.T) {
	type step struct {
		late     bool
		answer   bool // else it is told who leads
		clear    bool
		here     bool
		at       string
		want     MoveKind
		wantTo   string
		wantSpan time.Duration
	}
	leads, elsewhere, nobody := step{here: true, want: AskHere}, step{at: "b", want: AskThere, wantTo: "b"}, step{want: WaitForLeader}
	unclear := step{answer: true, want: AskAgain, wantSpan: askLeaderAgain}
	good := step{answer: true, clear: true, want: EndAnswered}
	cases := []struct {
		name      string
		forwarded bool
		steps     []step
	}{
		{"answered here", false, []step{leads, good}},
		{"answered there", false, []step{elsewhere, good}},
		{"answered by the next leader", false, []step{nobody, elsewhere, unclear, nobody, leads, good}},
		{"nobody led", false, []step{nobody, {late: true, want: EndNotBegun}}},
		{"no clear answer in time", false, []step{elsewhere, {late: true, answer: true, want: EndUnclear}}},
		{"no second one in time", false, []step{elsewhere, unclear, {late: true, here: true, want: EndUnclear}}},
		{"forwarded and answered", true, []step{leads, good}},
		{"forwarded to one that leads a moment later", true, []step{nobody, leads, good}},
		{"forwarded to one that follows", true, []step{{at: "c", want: EndNotBegun}}},
		{"forwarded without a clear answer", true, []step{leads, {answer: true, want: EndUnclear}}},
	}
	for _, c := range cases {
		now := time.Now()
		q := NewQuestion(c.forwarded, now.Add(time.Second))
		for i, s := range c.steps {
			at := now
			if s.late {
				at = now.Add(time.Second)
			}
			var got Move
			if s.answer {
				got = q.Answered(at, s.clear)
			} else {
				got = q.Led(at, s.here, s.at)
			}
			assert.Equal(t, got, Move{Kind: s.want, To: s.wantTo, After: s.wantSpan}, "%s, step %d", c.name, i)
			assert.Equal(t, got.Ends(), i == len(c.steps)-1, "%s, step %d", c.name, i)
		}
	}
}
