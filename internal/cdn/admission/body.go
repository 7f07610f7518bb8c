package admission

import (
	"errors"
	"io"
	"math"
	"sync/atomic"

	"cedarmast/internal/boundedhttp"
)

// Body is a buffered request body and what it is charged. It must be released, also after an error.
type Body struct {
	Bytes       []byte
	Reservation *Reservation
	holders     atomic.Int64 // that must release it beside its owner
}

// Hold keeps the body charged until Release has been called once more.
func (b *Body) Hold() { b.holders.Add(1) }

// Release returns the body's bytes to the budget, once nobody holds it any more.
func (b *Body) Release() {
	if b.holders.Add(-1) < 0 {
		b.Reservation.Release()
	}
}

// ReadBody buffers a body of the given length, or of unknown length if that is negative. The error is ErrNoRoom, or one of the reader.
func ReadBody(reader io.Reader, length int64, budget *Budget) (*Body, error) {
	b := &Body{Reservation: budget.Reserve()}
	var err error
	b.Bytes, err = boundedhttp.ReadBody(reader, length, math.MaxInt64, b.Reservation)
	if errors.Is(err, boundedhttp.ErrBodyTooLong) { // longer than the whole budget
		err = ErrNoRoom
	}
	return b, err
}
