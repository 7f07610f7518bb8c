package configstore

import "time"

// Question is one question on its way to the leader, at the config store that it came to: it decides what is done next and when it is over. It has
// no clock and does no I/O, and is played by the process and by the simulation alike.
type Question struct {
	forwarded bool      // by another config store: it goes no further
	due       time.Time // its asker waits until then
	begun     bool      // somebody was asked: it may be in the log
}

// NewQuestion begins a question whose asker waits until a time.
func NewQuestion(forwarded bool, due time.Time) *Question {
	return &Question{forwarded: forwarded, due: due}
}

// MoveKind is a kind of Move.
type MoveKind int

// The kinds of moves. The last three are ends.
const (
	WaitForLeader MoveKind = iota // none is known here
	AskHere
	AskThere
	AskAgain
	EndAnswered
	EndUnclear  // it may have been taken
	EndNotBegun // nobody was asked
)

// Move is what is to be done with a question next.
type Move struct {
	Kind  MoveKind
	To    string        // with AskThere: the leader's address
	After time.Duration // with AskAgain: the pause before it
}

// Ends tells whether the question is over.
func (m Move) Ends() bool { return m.Kind >= EndAnswered }

const askLeaderAgain = 25 * time.Millisecond

// Led takes who leads, as far as it is known here: this machine, one at an address, or nobody.
func (q *Question) Led(now time.Time, here bool, at string) Move {
	switch {
	case !now.Before(q.due):
		return q.End()
	case here:
		q.begun = true
		return Move{Kind: AskHere}
	case at == "":
		return Move{Kind: WaitForLeader}
	case q.forwarded: // whoever sent it asks the next leader by itself
		return q.End()
	}
	q.begun = true
	return Move{Kind: AskThere, To: at}
}

// Answered takes the answer of whoever was asked. One that is not clear is asked for again while there is time, for commands may be brought twice.
func (q *Question) Answered(now time.Time, clear bool) Move {
	switch {
	case clear:
		return Move{Kind: EndAnswered}
	case q.forwarded, !now.Before(q.due):
		return q.End()
	}
	return Move{Kind: AskAgain, After: askLeaderAgain}
}

// End is the end of a question that is waited for no longer.
func (q *Question) End() Move {
	if q.begun {
		return Move{Kind: EndUnclear}
	}
	return Move{Kind: EndNotBegun}
}
