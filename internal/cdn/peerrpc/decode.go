package peerrpc

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
)

// decode decodes a value, or skips one if it is nil. Package gob panics on some malformed streams, as its documentation admits; that is an
// error of the stream here, and its connection ends.
func decode(decoder *gob.Decoder, value any) (err error) {
	defer func() {
		if panicked := recover(); panicked != nil {
			err = Error.New("malformed message: %v", panicked)
		}
	}()
	return decoder.Decode(value)
}

// clientCodec is an rpc.ClientCodec that speaks what a gob server of net/rpc does.
type clientCodec struct {
	conn    io.ReadWriteCloser
	decoder *gob.Decoder
	encoder *gob.Encoder
	writer  *bufio.Writer
}

// newClient returns an RPC client on a connection.
func newClient(conn io.ReadWriteCloser) *rpc.Client {
	writer := bufio.NewWriter(conn)
	return rpc.NewClientWithCodec(&clientCodec{conn: conn, decoder: gob.NewDecoder(conn), encoder: gob.NewEncoder(writer), writer: writer})
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(request *rpc.Request, arguments any) error {
	if err := c.encoder.Encode(request); err != nil {
		return err
	}
	if err := c.encoder.Encode(arguments); err != nil {
		return err
	}
	return c.writer.Flush()
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(response *rpc.Response) error {
	return decode(c.decoder, response)
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(reply any) error { return decode(c.decoder, reply) }

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error { return c.conn.Close() }
