package kqconnection

import (
	"io"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqpace"
)

// writeSize is the largest size, in bytes, of a piece of a response without a pacer.
const writeSize = 32 << 10

// Write implements net.Conn. It writes in pieces, which show whether the client reads. With a pacer,
// those beyond the beginning of a response are spaced out.
func (c *connection) Write(b []byte) (int, error) {
	c.exchange.Send()
	before := c.client.Send(time.Now())
	defer func() { c.client.Sent(before) }()
	total, size := 0, writeSize
	if c.listener.pacer != nil {
		size = kqpace.PieceSize
	}
	for {
		piece := b[total:min(len(b), total+size)]
		if c.listener.pacer != nil {
			c.pace(len(piece))
		}
		n, err := c.TCPConn.Write(piece)
		total += n
		if err != nil || total == len(b) {
			return total, err
		}
		c.client.Progress(time.Now())
	}
}

// pace counts the bytes and, if they are not of the beginning of a response, waits until they
// may be written.
func (c *connection) pace(bytes int) {
	now := time.Now()
	if c.written.Add(int64(bytes)) <= kqpace.PromptSize {
		c.listener.pacer.Count(bytes, now)
		return
	}
	if wait := c.listener.pacer.Reserve(bytes, now); wait > 0 {
		time.Sleep(wait)
	}
}

// ReadFrom implements io.ReaderFrom in place of TCPConn's method, which would not write in pieces.
func (c *connection) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}
