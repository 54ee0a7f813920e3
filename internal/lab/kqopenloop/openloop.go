package kqopenloop

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// maxInFlight bounds the calls in flight of all streams; maxConnections bounds the
	// connections of one caller to one address.
	maxInFlight    = 5000
	maxConnections = 5000
	// callTimeout bounds the time from the sending of a call to its answer; a call that
	// takes longer ends as kqcall.Unknown. It also bounds dialing and the idle time of
	// connections.
	callTimeout = 10 * time.Second
	// maxSleep bounds the time between two checks of ctx.
	maxSleep = 2 * time.Millisecond
)

type (
	// Generator sends calls to its addresses in round-robin order.
	Generator struct {
		addresses []kqname.Address
		// clients holds each caller's clients, in the order of addresses.
		clients map[string][]*fasthttp.HostClient
	}

	// Stream is a series of identical calls from one caller.
	Stream struct {
		// Caller is the source address of the calls, a loopback address such as
		// 127.0.0.2.
		Caller string
		// Class is a label by which the generator's user may group results.
		Class  string
		Host   string
		Path   string
		Phases []Phase
	}

	// Phase is a section of a schedule with Poisson arrivals at Rate calls per second.
	Phase struct {
		Length time.Duration
		Rate   float64
	}

	// Sample is the result of one call as its caller received it.
	Sample struct {
		Stream *Stream
		// ScheduledAt is the scheduled time since the start; Latency is the time from then
		// until the whole answer was received or the call failed, and 0 for unsent calls.
		ScheduledAt, Latency time.Duration
		Result               kqcall.Result
		Reason               kqcall.Reason
		Status               int
	}

	arrival struct {
		stream      *Stream
		scheduledAt time.Duration
	}
)

// Unsent is the reason of calls that the generator did not send because too many
// were in flight.
const Unsent kqcall.Reason = "unsent"

// New returns a generator that sends to the addresses in round-robin order.
func New(addresses ...kqname.Address) *Generator {
	return &Generator{addresses: addresses, clients: make(map[string][]*fasthttp.HostClient)}
}

// Run sends the streams' calls and returns one sample per call, in the order of the
// schedule. Equal seeds give equal arrival times. If ctx ends, the remaining calls have
// no sample.
func (g *Generator) Run(ctx context.Context, seed uint64, streams []*Stream) []Sample {
	arrivals := schedule(seed, streams)
	for _, s := range streams {
		g.addClients(s.Caller)
	}
	samples := make([]Sample, len(arrivals))
	var inFlight atomic.Int64
	var group conc.WaitGroup
	start := time.Now()
	for i, a := range arrivals {
		if !sleepUntil(ctx, start.Add(a.scheduledAt)) {
			samples = samples[:i]
			break
		}
		samples[i] = Sample{Stream: a.stream, ScheduledAt: a.scheduledAt, Result: kqcall.NotRun, Reason: Unsent}
		if inFlight.Load() >= maxInFlight {
			continue
		}
		inFlight.Add(1)
		client := g.clients[a.stream.Caller][i%len(g.addresses)]
		group.Go(func() {
			defer inFlight.Add(-1)
			send(client, &samples[i], start)
		})
	}
	group.Wait()
	return samples
}

// Close closes idle connections.
func (g *Generator) Close() {
	for _, list := range g.clients {
		for _, c := range list {
			c.CloseIdleConnections()
		}
	}
}

func (g *Generator) addClients(caller string) {
	if _, ok := g.clients[caller]; ok {
		return
	}
	dialer := net.Dialer{Timeout: callTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(caller)}}
	for _, a := range g.addresses {
		g.clients[caller] = append(g.clients[caller], &fasthttp.HostClient{
			Addr: string(a), MaxConns: maxConnections, MaxIdleConnDuration: callTimeout, MaxIdemponentCallAttempts: 1,
			RetryIfErr:               func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial:                     func(to string) (net.Conn, error) { return dialer.Dial("tcp", to) },
			NoDefaultUserAgentHeader: true,
		})
	}
}

func send(client *fasthttp.HostClient, s *Sample, start time.Time) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + s.Stream.Host + s.Stream.Path)
	request.Header.Set("Work-Id", strconv.FormatInt(int64(s.ScheduledAt), 36))
	err := client.DoTimeout(request, response, callTimeout)
	s.Latency = time.Since(start) - s.ScheduledAt
	if err != nil {
		s.Result, s.Reason = kqcall.Unknown, "no_answer"
		return
	}
	s.Status = response.StatusCode()
	s.Result = kqcall.Result(response.Header.Peek(kqcall.HeaderResult))
	s.Reason = kqcall.Reason(response.Header.Peek(kqcall.HeaderReason))
	if s.Result == "" {
		// An answer that comes directly from an upstream has no result header.
		s.Result = kqcall.Answered
	}
}

// schedule returns the arrivals of all streams, ordered by time.
func schedule(seed uint64, streams []*Stream) []arrival {
	var all []arrival
	for i, s := range streams {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		phaseStart := time.Duration(0)
		for _, p := range s.Phases {
			for scheduledAt := phaseStart; p.Rate > 0; {
				scheduledAt += time.Duration(random.ExpFloat64() / p.Rate * float64(time.Second))
				if scheduledAt >= phaseStart+p.Length {
					break
				}
				all = append(all, arrival{s, scheduledAt})
			}
			phaseStart += p.Length
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.scheduledAt, b.scheduledAt) })
	return all
}

// sleepUntil sleeps until the given time and reports whether ctx is still open; it returns
// early once ctx has ended. It calls nanosleep, whose precision is about 60 µs, since that
// of the runtime's timers is 1 ms.
func sleepUntil(ctx context.Context, at time.Time) bool {
	for {
		remaining := time.Until(at)
		if ctx.Err() != nil {
			return false
		}
		if remaining <= 0 {
			return true
		}
		pause := syscall.NsecToTimespec(int64(min(remaining, maxSleep)))
		// An interrupted sleep is harmless: the loop checks the clock again.
		_ = syscall.Nanosleep(&pause, nil)
	}
}
