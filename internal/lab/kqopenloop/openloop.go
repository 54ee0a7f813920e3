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
	maxOutstanding = 5000
	maxConnections = 5000
	// patience is how long a call may go unanswered before it counts as lost.
	patience = 10 * time.Second
	// nap is the longest sleep between two looks at the schedule; the system
	// call's own precision is about 60 µs, the runtime's timers' is 1 ms.
	nap = 2 * time.Millisecond
)

type (
	// Generator sends calls to some addresses in turn.
	Generator struct {
		addresses []kqname.Address
		clients   map[string][]*fasthttp.HostClient
	}

	// Stream is one caller's calls of one kind.
	Stream struct {
		// Caller is the loopback address, such as 127.0.0.2, that calls come from.
		Caller string
		// Class is what results are grouped by, besides the caller.
		Class  string
		Host   string
		Path   string
		Phases []Phase
	}

	// Phase is a stretch of a schedule: Poisson arrivals at Rate a second.
	Phase struct {
		For  time.Duration
		Rate float64
	}

	// Sample is one call as its caller saw it.
	Sample struct {
		Stream *Stream
		// At is when the schedule had it sent, since the start; Took is from
		// then until the whole answer was there.
		At, Took time.Duration
		Result   kqcall.Result
		Reason   kqcall.Reason
		Status   int
	}

	arrival struct {
		stream *Stream
		at     time.Duration
	}
)

// Unsent is the reason of calls that the generator could not send, since too
// many were outstanding or no connection could be made.
const Unsent kqcall.Reason = "unsent"

// New returns a generator that sends to the addresses in turn.
func New(addresses ...kqname.Address) *Generator {
	return &Generator{addresses: addresses, clients: make(map[string][]*fasthttp.HostClient)}
}

// Run sends the streams' calls and returns one sample for each. The seed fixes
// the arrivals.
func (g *Generator) Run(ctx context.Context, seed uint64, streams []*Stream) []Sample {
	arrivals := schedule(seed, streams)
	for _, s := range streams {
		g.connect(s.Caller)
	}
	samples := make([]Sample, len(arrivals))
	var outstanding atomic.Int64
	var group conc.WaitGroup
	start := time.Now()
	for i, a := range arrivals {
		if !sleepUntil(ctx, start.Add(a.at)) {
			samples = samples[:i]
			break
		}
		samples[i] = Sample{Stream: a.stream, At: a.at, Result: kqcall.NotRun, Reason: Unsent}
		if outstanding.Load() >= maxOutstanding {
			continue
		}
		outstanding.Add(1)
		client := g.clients[a.stream.Caller][i%len(g.addresses)]
		group.Go(func() {
			defer outstanding.Add(-1)
			send(client, &samples[i], start)
		})
	}
	group.Wait()
	return samples
}

// Close ends idle connections.
func (g *Generator) Close() {
	for _, list := range g.clients {
		for _, c := range list {
			c.CloseIdleConnections()
		}
	}
}

func (g *Generator) connect(caller string) {
	if _, ok := g.clients[caller]; ok {
		return
	}
	dialer := net.Dialer{Timeout: patience, LocalAddr: &net.TCPAddr{IP: net.ParseIP(caller)}}
	for _, a := range g.addresses {
		g.clients[caller] = append(g.clients[caller], &fasthttp.HostClient{
			Addr: string(a), MaxConns: maxConnections, MaxIdleConnDuration: patience, MaxIdemponentCallAttempts: 1,
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
	request.Header.Set("Work-Id", strconv.FormatInt(int64(s.At), 36))
	err := client.DoTimeout(request, response, patience)
	s.Took = time.Since(start) - s.At
	if err != nil {
		s.Result, s.Reason = kqcall.Unknown, "no_answer"
		return
	}
	s.Status = response.StatusCode()
	s.Result = kqcall.Result(response.Header.Peek(kqcall.HeaderResult))
	s.Reason = kqcall.Reason(response.Header.Peek(kqcall.HeaderReason))
	if s.Result == "" {
		// A call straight to the upstream carries no result of ours.
		s.Result = kqcall.Answered
	}
}

func schedule(seed uint64, streams []*Stream) []arrival {
	var all []arrival
	for i, s := range streams {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		from := time.Duration(0)
		for _, p := range s.Phases {
			for at := from; p.Rate > 0; {
				at += time.Duration(random.ExpFloat64() / p.Rate * float64(time.Second))
				if at >= from+p.For {
					break
				}
				all = append(all, arrival{s, at})
			}
			from += p.For
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return all
}

// sleepUntil sleeps in the system call, whose precision is finer than that of
// the runtime's timers, and reports false once ctx has ended.
func sleepUntil(ctx context.Context, at time.Time) bool {
	for {
		left := time.Until(at)
		if ctx.Err() != nil {
			return false
		}
		if left <= 0 {
			return true
		}
		pause := syscall.NsecToTimespec(int64(min(left, nap)))
		// An interrupted sleep is followed by another look at the clock.
		_ = syscall.Nanosleep(&pause, nil)
	}
}
