package kqconnection

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/base/kqmemory"
)

const (
	// maxPipelined limits the requests per connection that are served before earlier ones
	// have been answered.
	maxPipelined = 16
	// maxReadAhead is how many bytes may be buffered behind the current request before
	// reading ahead stops.
	maxReadAhead = 64 << 10
	// maxBufferedBody is the largest response body, in bytes, that is buffered whole until
	// the earlier requests have been answered.
	maxBufferedBody = 64 << 10
	// readSize is the size of the buffer for reading ahead, in bytes.
	readSize = 4 << 10
	// bufferGrowth is how much more memory than its length a buffer takes that grows by copying.
	bufferGrowth = 2
	// pipelinedMemory is what a pipelined request takes beside its head and its response, in bytes.
	pipelinedMemory = 12 << 10
)

type (
	// pipelined is a request that is served before earlier requests have been answered; its
	// response is held back until they have.
	pipelined struct {
		head []byte
		ctx  fasthttp.RequestCtx
		// memory is nil if memory is not limited.
		memory *kqmemory.Reservation
		done   chan struct{}
		// stream is the response's body if it is too large to be buffered whole, else nil.
		stream *prefetchedBody
		// discarded is set if the response will not be sent. The connection's lock guards
		// it.
		discarded bool
	}

	// remainder is the unread part of a stream, or the error that ended its reading.
	remainder struct {
		io.Reader
		readErr error
	}

	// prefetchedBody is a streamed body whose beginning has been read ahead.
	prefetchedBody struct {
		io.Reader
		close func() error
	}

	// pipelinedKey is the key of a pipelined request's memory among the user values of the request
	// whose response it becomes.
	pipelinedKey struct{}
)

// Serve returns a handler that serves a caller's pipelined requests concurrently, by
// calling next for each, and returns the responses in order. If they were served one after
// the other, a caller's third request of 200 ms would take 600 ms while upstreams are idle.
//
// Only safe requests without a body are served before earlier ones have been answered. Any
// other request waits for those before it and delays those behind it. Unless its request
// asks to close the connection or the server is shutting down, a response closes
// the connection only if no other request is pending on it.
func Serve(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if c := connectionOf(ctx.Conn()); c != nil {
			c.exchange.Serve()
			defer c.exchange.Handled()
		}
		c, ok := ctx.Conn().(*connection)
		if !ok {
			next(ctx)
			return
		}
		c.client.Serve()
		started := c.takePipelined(ctx)
		stop := c.readAhead(ctx, next)
		if started != nil {
			started.copyResponse(ctx)
		} else {
			next(ctx)
		}
		stop()
		c.endRequest()
		if ctx.Response.ConnectionClose() && c.Pending() {
			ctx.Response.Header.ResetConnectionClose()
		}
	}
}

// readAhead reads and serves the requests behind a safe request while that one is served. The
// returned function stops the reading.
func (c *connection) readAhead(ctx *fasthttp.RequestCtx, next fasthttp.RequestHandler) (stop func()) {
	if c.sequential || c.framer.isAmbiguous || c.framer.unknownLength || c.listener.pipeliningDisabled.Load() || !ctx.IsGet() && !ctx.IsHead() {
		return func() {}
	}
	var group conc.WaitGroup
	group.Go(func() { c.readPipelined(ctx, next) })
	return func() {
		// This unblocks the read. The server sets its own deadline before it reads again.
		_ = c.SetReadDeadline(time.Unix(0, 1))
		group.Wait()
		_ = c.SetReadDeadline(time.Time{})
	}
}

// readPipelined reads requests and starts serving them, until it is stopped, maxReadAhead
// bytes are buffered or the connection cannot be read.
func (c *connection) readPipelined(ctx *fasthttp.RequestCtx, next fasthttp.RequestHandler) {
	b := make([]byte, readSize)
	for c.startPipelined(ctx.Conn(), next) {
		n, err := c.TCPConn.Read(b)
		hasRoom := c.buffer(b[:n])
		if err != nil && !isTimeout(err) {
			c.mu.Lock()
			c.readErr = err
			c.mu.Unlock()
		}
		if err != nil || !hasRoom {
			c.startPipelined(ctx.Conn(), next)
			return
		}
	}
}

// startPipelined starts serving the next requests that have arrived whole, up to the first
// that must not be served concurrently, and reports whether to read on.
func (c *connection) startPipelined(conn net.Conn, next fasthttp.RequestHandler) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.started) < maxPipelined && !c.listener.pipeliningDisabled.Load() {
		end := bytes.Index(c.buffered[c.startedBytes:], headEnd) + len(headEnd)
		if end < len(headEnd) || !canPipeline(c.buffered[c.startedBytes:c.startedBytes+end]) {
			break
		}
		var size headSize
		size.add(c.buffered[c.startedBytes : c.startedBytes+end])
		memory := c.client.NewReservation()
		if !memory.Reserve(kqmemory.Calls, pipelinedMemory+size.bytes+size.memory(), 0) {
			break
		}
		p := &pipelined{head: bytes.Clone(c.buffered[c.startedBytes : c.startedBytes+end]), memory: memory, done: make(chan struct{})}
		p.ctx.Init2(conn, nil, true)
		if err := p.ctx.Request.Read(bufio.NewReader(bytes.NewReader(p.head))); err != nil {
			// The server refuses it once the earlier requests have been answered.
			_ = memory.Close()
			break
		}
		kqmemory.Attach(&p.ctx.Request, memory)
		c.startedBytes += end
		c.started = append(c.started, p)
		c.listener.pipelined.Add(1)
		c.group.Go(func() { c.servePipelined(p, next) })
	}
	return len(c.buffered) < maxReadAhead
}

func (c *connection) servePipelined(p *pipelined, next fasthttp.RequestHandler) {
	next(&p.ctx)
	p.bufferBody()
	close(p.done)
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.discarded {
		p.closeBody()
	}
}

// takePipelined returns the first pipelined request, which should be the one in ctx, or
// nil if none has been started. If the two differ, the boundaries between the requests
// were not found correctly and a caller could get another request's response, so all
// further requests are served sequentially.
func (c *connection) takePipelined(ctx *fasthttp.RequestCtx) *pipelined {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.started) == 0 {
		return nil
	}
	p := c.started[0]
	if !p.matches(&ctx.Request.Header) {
		c.sequential = true
		c.discardPipelined()
		return nil
	}
	c.started = c.started[1:]
	c.listener.pipelined.Add(-1)
	return p
}

// discardPipelined closes the bodies of the responses that are ready but will not be
// sent, and marks the other pipelined requests, so that servePipelined closes theirs. The
// lock must be held.
func (c *connection) discardPipelined() {
	c.listener.pipelined.Add(-int64(len(c.started)))
	for _, p := range c.started {
		p.discarded = true
		select {
		case <-p.done:
			p.closeBody()
		default:
		}
	}
	c.started = nil
}

// matches reports whether the header is that of this request.
func (p *pipelined) matches(h *fasthttp.RequestHeader) bool {
	line := append(append(bytes.Clone(h.Method()), ' '), h.RequestURI()...)
	return bytes.HasPrefix(p.head, append(line, ' ')) && bytes.HasSuffix(p.head, h.RawHeaders())
}

// copyResponse waits for the response and copies it to ctx.
func (p *pipelined) copyResponse(ctx *fasthttp.RequestCtx) {
	<-p.done
	r := &p.ctx.Response
	// The HTTP library closes it once the response has been written.
	if p.memory != nil {
		ctx.SetUserValue(pipelinedKey{}, p.memory)
	}
	r.Header.CopyTo(&ctx.Response.Header)
	ctx.Response.SkipBody = r.SkipBody
	if p.stream != nil {
		ctx.Response.SetBodyStream(p.stream, r.Header.ContentLength())
	} else {
		ctx.Response.SetBodyRaw(r.Body())
	}
}

// bufferBody buffers a streamed body whole if it is shorter than maxBufferedBody, else its
// beginning, if there is memory for that. If it were not read until the earlier requests have been answered, the
// call's deadline could pass first: the caller would lose a small response that has already
// arrived and, since the connection breaks, all responses behind it.
func (p *pipelined) bufferBody() {
	r := &p.ctx.Response
	if !r.IsBodyStream() {
		return
	}
	stream := r.BodyStream()
	data, hasRoom := p.memory.ResponseBuffer(maxBufferedBody)
	if !hasRoom {
		p.stream = &prefetchedBody{stream, r.CloseBodyStream}
		return
	}
	n, err := readFull(stream, data)
	if errors.Is(err, io.EOF) {
		r.SetBodyRaw(data[:n])
		return
	}
	p.stream = &prefetchedBody{io.MultiReader(bytes.NewReader(data[:n]), &remainder{stream, err}), r.CloseBodyStream}
}

// readFull reads until the buffer is full or an error occurs, which it returns as it is: io.EOF is
// the end of a whole body.
func readFull(r io.Reader, buffer []byte) (int, error) {
	total := 0
	for total < len(buffer) {
		n, err := r.Read(buffer[total:])
		if total += n; err != nil {
			return total, err
		}
	}
	return total, nil
}

// Read implements io.Reader.
func (r *remainder) Read(b []byte) (int, error) {
	if r.readErr != nil {
		return 0, r.readErr
	}
	return r.Reader.Read(b)
}

// Close implements io.Closer.
func (r *prefetchedBody) Close() error { return r.close() }

// closeBody closes the body of a discarded response and releases its memory; until then, the call
// is not finished and its upstream may still be sending the body.
func (p *pipelined) closeBody() { _, _ = p.ctx.Response.CloseBodyStream(), p.memory.Close() }

// canPipeline reports whether a request with this head is safe and has no body, and so may
// be served concurrently with others. fasthttp must not find another end of it.
func canPipeline(head []byte) bool {
	if !bytes.HasPrefix(head, []byte("GET ")) && !bytes.HasPrefix(head, []byte("HEAD ")) {
		return false
	}
	var syntax headSyntax
	f := bodyFraming{}.addLines(head)
	return syntax.check(head) && !f.isAmbiguous && !f.unknownLength && f.contentLength == 0
}
