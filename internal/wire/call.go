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

// ReadAdminRequest reads one operator's request, with the same strict checks as a client's request. The body is read and
// discarded.
func ReadAdminRequest(r *bufio.Reader) (*http.Request, error) {
	head, err := awaitHead(r, maxEmptyLines)
	if err != nil {
		return nil, err
	}
	frame, err := checkHead(head, singleRequestHeaders)
	if err != nil {
		return nil, err
	}
	if frame.length > maxBody {
		return nil, ErrBodyTooLarge
	}
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, badRequestf(http.StatusBadRequest, "malformed call: %v", err)
	}
	if req.ProtoMajor != 1 {
		return nil, badRequestf(http.StatusBadRequest, "%.20q is not spoken", req.Proto)
	}
	if n, err := io.Copy(io.Discard, io.LimitReader(req.Body, maxBody+1)); err != nil {
		return nil, err
	} else if n > maxBody {
		return nil, ErrBodyTooLarge
	}
	return req, nil
}

// IsProtocolError reports whether err is a protocol violation, rather than the end of the connection or a timeout.
func IsProtocolError(err error) bool {
	return err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, net.ErrClosed) &&
		!errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, os.ErrDeadlineExceeded)
}
