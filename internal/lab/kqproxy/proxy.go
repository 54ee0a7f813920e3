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
	// Pass harms nothing.
	Pass Mode = ""
	// Delay holds each piece of data for a while.
	Delay Mode = "delay"
	// Silence holds back all data both ways until it ends, as a broken line does;
	// connections stay.
	Silence Mode = "silence"
	// OneWay holds back what comes from the side that was connected to.
	OneWay Mode = "one_way"
	// Reset breaks open connections and each new one, once it is there.
	Reset Mode = "reset"
	// Down breaks open connections and has nobody listen, as after a process's end.
	Down Mode = "down"

	// delay is a far region's trip and more.
	delay       = 150 * time.Millisecond
	dialTimeout = time.Second
	piece       = 16 << 10
	// home is an address from which no connection goes out: on another, a passing one
	// may have the port when the proxy takes it again.
	home = "127.2.0.1:0"
)

type (
	// Mode is how a proxy treats connections.
	Mode string

	// Proxy passes connections on to a target. It is safe for concurrent use.
	Proxy struct {
		address string

		mu       sync.Mutex
		target   string
		mode     Mode
		changed  chan struct{}
		listener net.Listener
		open     map[*pair]bool
		closed   bool

		group conc.WaitGroup
	}

	// pair is one connection that is passed on; there is no far one until data goes.
	pair struct{ near, far *net.TCPConn }
)

// New opens a proxy that passes on to a target, which may be told later by Aim.
func New(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", home)
	if err != nil {
		return nil, fmt.Errorf("open proxy: %w", err)
	}
	p := &Proxy{address: l.Addr().String(), target: target, changed: make(chan struct{}), listener: l, open: make(map[*pair]bool)}
	p.group.Go(func() { p.accept(l) })
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.address }

// Aim sets where new connections go.
func (p *Proxy) Aim(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// Set changes how connections are treated, open ones too.
func (p *Proxy) Set(m Mode) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.mode == m {
		return nil
	}
	was := p.mode
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == Reset || m == Down {
		p.breakAll()
	}
	if m == Down {
		return p.listener.Close()
	}
	if was == Down {
		return p.listen()
	}
	return nil
}

// Close ends the proxy and its connections, and waits for that.
func (p *Proxy) Close() {
	p.shut()
	p.group.Wait()
}

func (p *Proxy) shut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.mode = Pass
	close(p.changed)
	p.changed = make(chan struct{})
	p.breakAll()
	_ = p.listener.Close()
}

// listen takes the address again. The lock is held.
func (p *Proxy) listen() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return fmt.Errorf("open proxy again: %w", err)
	}
	p.listener = l
	p.group.Go(func() { p.accept(l) })
	return nil
}

func (p *Proxy) breakAll() {
	for one := range p.open {
		one.end(false)
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
		p.group.Go(func() { p.serve(&pair{near: near}) })
	}
}

// serve passes one connection on until both sides have ended.
func (p *Proxy) serve(one *pair) {
	whole := false
	defer func() { one.end(whole) }()
	if p.await(true) == Reset {
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
	one.far = far
	p.mu.Lock()
	if p.closed || p.mode == Reset || p.mode == Down {
		p.mu.Unlock()
		return
	}
	p.open[one] = true
	p.mu.Unlock()
	var group conc.WaitGroup
	var there, back bool
	group.Go(func() { there = p.pump(one, one.far, one.near, true) })
	group.Go(func() { back = p.pump(one, one.near, one.far, false) })
	group.Wait()
	whole = there && back
	p.mu.Lock()
	delete(p.open, one)
	p.mu.Unlock()
}

// pump passes data on one way, and the end of it. It reports whether all of it went.
func (p *Proxy) pump(one *pair, to, from *net.TCPConn, out bool) bool {
	data := make([]byte, piece)
	for {
		n, err := from.Read(data)
		p.await(out)
		if n > 0 {
			if _, failed := to.Write(data[:n]); failed != nil {
				one.end(false)
				return false
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return to.CloseWrite() == nil
		default:
			one.end(false)
			return false
		}
	}
}

// await returns once data may go that way, with the mode then.
func (p *Proxy) await(out bool) Mode {
	for {
		p.mu.Lock()
		mode, changed := p.mode, p.changed
		p.mu.Unlock()
		switch {
		case mode == Silence || mode == OneWay && !out:
			<-changed
		case mode == Delay:
			time.Sleep(delay)
			return mode
		default:
			return mode
		}
	}
}

// end closes both sides. Unless all has been passed on, their ends see a broken
// connection and nothing of what is still on its way.
func (o *pair) end(whole bool) {
	for _, c := range []*net.TCPConn{o.near, o.far} {
		if c == nil {
			continue
		}
		if !whole {
			_ = c.SetLinger(0)
		}
		_ = c.Close()
	}
}
