package kqconnection

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

const (
	// aheadMost bounds the requests of one connection that are served before their turn.
	aheadMost = 16
	// aheadBytes bounds what is read behind the request under way.
	aheadBytes = 64 << 10
	// wholeMost is the size of body, in bytes, up to which an answer is taken whole before
	// its turn.
	wholeMost = 64 << 10
	// readSize is how much is read at once, in bytes.
	readSize = 4 << 10
)

type (
	// early is a request that is served before its turn on the connection; its answer
	// waits for it.
	early struct {
		raw  []byte
		ctx  fasthttp.RequestCtx
		done chan struct{}
		// stream is an answer that is not taken whole, nil for any other.
		stream *resumed
		// dropped tells that nobody will take the answer. The connection's lock guards it.
		dropped bool
	}

	// rest is what is left of a stream, or how it failed.
	rest struct {
		io.Reader
		failure error
	}

	// resumed is a stream whose beginning has been read.
	resumed struct {
		io.Reader
		close func() error
	}
)

// Serve returns a handler that has requests which a caller sends behind each other
// served at once, by next, and answered in their order. Given to next one at a time,
// each would wait until the one before it has been worked on: a caller's third request
// of 200 ms has its answer after 600 ms, while upstreams stand idle.
//
// Only safe requests without a body are served before their turn; any other waits for
// those before it, and has those behind it wait. An answer closes its connection only
// where no other request waits on it.
func Serve(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		c, ok := ctx.Conn().(*connection)
		if !ok {
			next(ctx)
			return
		}
		prepared := c.take(ctx)
		stop := c.readAhead(ctx, next)
		if prepared != nil {
			prepared.give(ctx)
		} else {
			next(ctx)
		}
		stop()
		c.served()
		if ctx.Response.ConnectionClose() && c.Pending() {
			ctx.Response.Header.ResetConnectionClose()
		}
	}
}

// readAhead reads what comes behind a safe request while that is served, and has it
// served too; the function that it returns ends that.
func (c *connection) readAhead(ctx *fasthttp.RequestCtx, next fasthttp.RequestHandler) (stop func()) {
	if c.inOrder || c.pace.unstated || c.listener.stopping.Load() || !ctx.IsGet() && !ctx.IsHead() {
		return func() {}
	}
	var group conc.WaitGroup
	group.Go(func() { c.follow(ctx, next) })
	return func() {
		// Who serves the connection sets a deadline of its own before it reads.
		_ = c.SetReadDeadline(time.Unix(0, 1))
		group.Wait()
		_ = c.SetReadDeadline(time.Time{})
	}
}

// follow reads until it is stopped, or until there is enough.
func (c *connection) follow(ctx *fasthttp.RequestCtx, next fasthttp.RequestHandler) {
	b := make([]byte, readSize)
	for c.begin(ctx.Conn(), next) {
		n, err := c.TCPConn.Read(b)
		c.mu.Lock()
		c.rest = append(c.rest, b[:n]...)
		if err != nil && !timedOut(err) {
			c.failure = err
		}
		c.mu.Unlock()
		if err != nil {
			c.begin(ctx.Conn(), next)
			return
		}
	}
}

// begin starts the requests that have come whole, and reports whether more may be read.
func (c *connection) begin(conn net.Conn, next fasthttp.RequestHandler) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.ahead) < aheadMost && !c.listener.stopping.Load() {
		end := bytes.Index(c.rest[c.begun:], headEnd) + len(headEnd)
		if end < len(headEnd) || !safe(c.rest[c.begun:c.begun+end]) {
			break
		}
		e := &early{raw: bytes.Clone(c.rest[c.begun : c.begun+end]), done: make(chan struct{})}
		e.ctx.Init2(conn, nil, true)
		if err := e.ctx.Request.Read(bufio.NewReader(bytes.NewReader(e.raw))); err != nil {
			// It is refused in its turn.
			break
		}
		c.begun += end
		c.ahead = append(c.ahead, e)
		c.listener.early.Add(1)
		c.group.Go(func() { c.run(e, next) })
	}
	return len(c.rest) < aheadBytes
}

func (c *connection) run(e *early, next fasthttp.RequestHandler) {
	next(&e.ctx)
	e.takeWhole()
	close(e.done)
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.dropped {
		e.drop()
	}
}

// take returns the request that ctx has brought if it has been begun already. Where the
// two differ, the ends of requests are not where they were taken to be: the caller would
// have another request's answer, so that all are served in order from then on.
func (c *connection) take(ctx *fasthttp.RequestCtx) *early {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) == 0 {
		return nil
	}
	e := c.ahead[0]
	if !e.is(&ctx.Request.Header) {
		c.inOrder = true
		c.dropAhead()
		return nil
	}
	c.ahead = c.ahead[1:]
	c.listener.early.Add(-1)
	return e
}

// dropAhead leaves the answers that nobody will take. The lock is held.
func (c *connection) dropAhead() {
	c.listener.early.Add(-int64(len(c.ahead)))
	for _, e := range c.ahead {
		e.dropped = true
		select {
		case <-e.done:
			e.drop()
		default:
		}
	}
	c.ahead = nil
}

// is reports whether the header is that of the request that was begun.
func (e *early) is(h *fasthttp.RequestHeader) bool {
	line := append(append(bytes.Clone(h.Method()), ' '), h.RequestURI()...)
	return bytes.HasPrefix(e.raw, append(line, ' ')) && bytes.HasSuffix(e.raw, h.RawHeaders())
}

// give waits for the answer and hands it over.
func (e *early) give(ctx *fasthttp.RequestCtx) {
	<-e.done
	r := &e.ctx.Response
	r.Header.CopyTo(&ctx.Response.Header)
	ctx.Response.SkipBody = r.SkipBody
	if e.stream != nil {
		ctx.Response.SetBodyStream(e.stream, r.Header.ContentLength())
	} else {
		ctx.Response.SetBodyRaw(r.Body())
	}
}

// takeWhole takes in an answer that comes as a stream, up to a bound. Left until its turn,
// a small answer that is there would not be read before its call's deadline: the caller
// would lose it, and with the connection those behind it.
func (e *early) takeWhole() {
	r := &e.ctx.Response
	if !r.IsBodyStream() {
		return
	}
	stream := r.BodyStream()
	data, err := io.ReadAll(io.LimitReader(stream, wholeMost+1))
	if err == nil && len(data) <= wholeMost {
		r.SetBody(data)
		return
	}
	e.stream = &resumed{io.MultiReader(bytes.NewReader(data), &rest{stream, err}), r.CloseBodyStream}
}

// Read implements io.Reader.
func (r *rest) Read(b []byte) (int, error) {
	if r.failure != nil {
		return 0, r.failure
	}
	return r.Reader.Read(b)
}

// Close implements io.Closer.
func (r *resumed) Close() error { return r.close() }

// drop ends an answer that nobody will take: its upstream works on it until it is closed.
func (e *early) drop() { _ = e.ctx.Response.CloseBodyStream() }

// safe reports whether a request with that head may be served beside others.
func safe(head []byte) bool {
	if !bytes.HasPrefix(head, []byte("GET ")) && !bytes.HasPrefix(head, []byte("HEAD ")) {
		return false
	}
	return !has(head, encodingName) && length(head) == 0
}
