package kqproxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// Pass forwards everything unchanged.
	Pass Mode = ""
	// Delay holds back each new connection and each chunk of data for a fixed time.
	Delay Mode = "delay"
	// Silence holds back all data in both directions until the mode ends, as a broken
	// link does. Connections stay open.
	Silence Mode = "silence"
	// OneWay holds back data from the target to the clients.
	OneWay Mode = "one_way"
	// Reset resets open connections, and new ones once they are accepted.
	Reset Mode = "reset"
	// Down resets open connections and closes the listener, so that new connections are
	// refused as if the process had ended.
	Down Mode = "down"

	// delay exceeds the one-way latency to a distant region.
	delay       = 150 * time.Millisecond
	dialTimeout = time.Second
	bufferSize  = 16 << 10
)

type (
	// Mode is how a proxy treats connections.
	Mode string

	// Proxy forwards connections to a target. It is safe for concurrent use.
	Proxy struct {
		address string

		mu       sync.Mutex
		target   string
		mode     Mode
		changed  chan struct{}
		listener net.Listener
		pairs    map[*connPair]bool
		closed   bool

		group conc.WaitGroup
	}

	// connPair is a forwarded connection: near was accepted, far was dialed to the
	// target and is nil until then.
	connPair struct{ near, far *net.TCPConn }
)

// New opens a proxy that listens on an address and forwards to a target. SetTarget may set the
// target later. No connection should be opened from the address's IP address, since it could hold
// the port when the proxy listens on it again.
func New(listen, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("open proxy: %w", err)
	}
	p := &Proxy{address: l.Addr().String(), target: target, changed: make(chan struct{}), listener: l, pairs: make(map[*connPair]bool)}
	p.group.Go(func() { p.accept(l) })
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.address }

// SetTarget sets the target of new connections.
func (p *Proxy) SetTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// SetMode changes how connections are treated, including open ones. It does nothing
// after Close.
func (p *Proxy) SetMode(m Mode) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.mode == m {
		return nil
	}
	previous := p.mode
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == Reset || m == Down {
		p.resetAll()
	}
	if m == Down {
		return p.listener.Close()
	}
	if previous == Down {
		return p.listen()
	}
	return nil
}

// Close closes the proxy and its connections and waits until all of its goroutines have
// ended.
func (p *Proxy) Close() {
	p.shutdown()
	p.group.Wait()
}

func (p *Proxy) shutdown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.mode = Pass
	close(p.changed)
	p.changed = make(chan struct{})
	p.resetAll()
	_ = p.listener.Close()
}

// listen opens the listener again at the same address. The caller holds mu.
func (p *Proxy) listen() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return fmt.Errorf("reopen proxy: %w", err)
	}
	p.listener = l
	p.group.Go(func() { p.accept(l) })
	return nil
}

// resetAll resets all connections that reach the target. The caller holds mu.
func (p *Proxy) resetAll() {
	for cp := range p.pairs {
		cp.closeBoth(false)
	}
}

func (p *Proxy) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		near, ok := conn.(*net.TCPConn)
		if !ok {
			_ = conn.Close()
			continue
		}
		p.group.Go(func() { p.serve(&connPair{near: near}) })
	}
}

// serve forwards one connection until both directions have ended. It resets the
// connection if the mode requires that or the target does not accept one.
func (p *Proxy) serve(cp *connPair) {
	complete := false
	defer func() { cp.closeBoth(complete) }()
	if p.waitToForward(true) == Reset {
		return
	}
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	conn, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		return
	}
	far, ok := conn.(*net.TCPConn)
	if !ok {
		_ = conn.Close()
		return
	}
	cp.far = far
	p.mu.Lock()
	if p.closed || p.mode == Reset || p.mode == Down {
		p.mu.Unlock()
		return
	}
	p.pairs[cp] = true
	p.mu.Unlock()
	var group conc.WaitGroup
	var outComplete, backComplete bool
	group.Go(func() { outComplete = p.forward(cp, cp.far, cp.near, true) })
	group.Go(func() { backComplete = p.forward(cp, cp.near, cp.far, false) })
	group.Wait()
	complete = outComplete && backComplete
	p.mu.Lock()
	delete(p.pairs, cp)
	p.mu.Unlock()
}

// forward copies data in one direction, including the half-close at its end. It reports
// whether everything was copied.
func (p *Proxy) forward(cp *connPair, to, from *net.TCPConn, toTarget bool) bool {
	data := make([]byte, bufferSize)
	for {
		n, err := from.Read(data)
		p.waitToForward(toTarget)
		if n > 0 {
			if _, failed := to.Write(data[:n]); failed != nil {
				cp.closeBoth(false)
				return false
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return to.CloseWrite() == nil
		default:
			cp.closeBoth(false)
			return false
		}
	}
}

// waitToForward waits until the mode lets data pass, to the target if toTarget is set
// and otherwise from it, and returns the mode that did so.
func (p *Proxy) waitToForward(toTarget bool) Mode {
	for {
		p.mu.Lock()
		mode, changed := p.mode, p.changed
		p.mu.Unlock()
		switch {
		case mode == Silence || mode == OneWay && !toTarget:
			<-changed
		case mode == Delay:
			time.Sleep(delay)
			return mode
		default:
			return mode
		}
	}
}

// closeBoth closes both connections. Unless complete, it resets them, so that both
// peers see a broken connection and data in flight is discarded.
func (cp *connPair) closeBoth(complete bool) {
	for _, c := range []*net.TCPConn{cp.near, cp.far} {
		if c == nil {
			continue
		}
		if !complete {
			_ = c.SetLinger(0)
		}
		_ = c.Close()
	}
}
