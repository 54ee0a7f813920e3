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
	maxInFlight    = 5000
	maxConnections = 5000
	// callTimeout is how long a call may go unanswered before it counts as lost.
	callTimeout = 10 * time.Second
	// maxSleep bounds each sleep between two checks of ctx. The system call has a
	// precision of about 60 µs, the runtime's timers one of 1 ms.
	maxSleep = 2 * time.Millisecond
)

type (
	// Generator sends calls to its addresses in round-robin order.
	Generator struct {
		addresses []kqname.Address
		clients   map[string][]*fasthttp.HostClient
	}

	// Stream is a series of identical calls from one caller.
	Stream struct {
		// Caller is the source address of the calls, a loopback address such as
		// 127.0.0.2.
		Caller string
		// Class is the label by which results are grouped, besides the caller.
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
		// ScheduledAt is the scheduled time since the start; Latency is the time
		// from then until the whole answer was received.
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

// Run sends the streams' calls and returns one sample per call. Equal seeds give
// equal arrival times. If ctx ends, the remaining calls have no sample.
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

// sleepUntil sleeps with nanosleep, which is more precise than the runtime's timers,
// and reports false once ctx has ended.
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
