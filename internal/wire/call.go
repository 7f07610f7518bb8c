package wire

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
)

// ReadCall reads one operator's call whole, under the same strict reading as a client's request. What its body says is
// of no use and is dropped.
func ReadCall(r *bufio.Reader) (*http.Request, error) {
	text, err := awaitHead(r, maxEmptyLines)
	if err != nil {
		return nil, err
	}
	frame, err := checkHead(text, onceInRequest)
	if err != nil {
		return nil, err
	}
	if frame.length > maxBody {
		return nil, ErrBodyTooLarge
	}
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, badf(http.StatusBadRequest, "malformed call: %v", err)
	}
	if req.ProtoMajor != 1 {
		return nil, badf(http.StatusBadRequest, "%.20q is not spoken", req.Proto)
	}
	if n, err := io.Copy(io.Discard, io.LimitReader(req.Body, maxBody+1)); err != nil {
		return nil, err
	} else if n > maxBody {
		return nil, ErrBodyTooLarge
	}
	return req, nil
}

// IsBad tells a message that breaks the protocol from a connection that ended or fell silent.
func IsBad(err error) bool {
	return err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, net.ErrClosed) &&
		!errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, os.ErrDeadlineExceeded)
}
