package kqrates_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrates"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqrpc"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type meter struct{ sent, received atomic.Int64 }

func (m *meter) Sent(bytes int)     { m.sent.Add(int64(bytes)) }
func (m *meter) Received(bytes int) { m.received.Add(int64(bytes)) }

type random struct{}

func (random) Float64() float64 { return rand.Float64() }

// BenchmarkControlBytes measures what 89 nodes send on loopback for the rates of 87 workspaces
// without calls and at 20 calls a second a node, without TLS. Each runs once, for 13 s.
func BenchmarkControlBytes(b *testing.B) {
	for _, perSecond := range []int{0, 20} {
		b.Run(fmt.Sprintf("calls=%d", perSecond), func(b *testing.B) { measureControlBytes(b, perSecond) })
	}
}

func measureControlBytes(b *testing.B, perSecond int) {
	const nodes, span = 89, 10 * time.Second
	ctx, cancel := context.WithCancel(b.Context())
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	workspaces := zipfWorkspaces(87)
	members, listeners := make([]kqmember.Member, nodes), make([]net.Listener, nodes)
	for i := range members {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners[i] = l
		members[i] = kqmember.Member{Node: kqname.Node(fmt.Sprintf("node-%03d", i)), Control: kqname.Address(l.Addr().String()), Incarnation: 1}
	}
	meters, sum := make([]*meter, nodes), 0.0
	for _, w := range workspaces {
		sum += w.RatePerS
	}
	for i := range members {
		meters[i] = &meter{}
		server, table := kqrpc.NewServer(meters[i]), kqmember.NewTable(members[i])
		client := kqrpc.NewClient(members[i].Node, meters[i])
		s := kqrates.NewService(server, client, kqrates.Config{
			Table: table, Workspaces: func() []kqdocument.Workspace { return workspaces },
			Observer: silent{}, Random: random{}, ExpectedNodes: nodes,
		})
		for _, m := range members {
			table.Merge(m)
		}
		group.Go(func() { _ = server.Serve(ctx, listeners[i]) })
		group.Go(func() { s.Run(ctx); client.Close() })
		group.Go(func() {
			for perSecond > 0 && ctx.Err() == nil {
				draw, k := rand.Float64()*sum, 0
				for ; k < len(workspaces)-1 && draw > workspaces[k].RatePerS; k++ {
					draw -= workspaces[k].RatePerS
				}
				s.Rates().Admit(&workspaces[k], time.Now())
				time.Sleep(time.Second / time.Duration(perSecond))
			}
		})
	}
	total := func() (sent, most float64) {
		for _, m := range meters {
			sent += float64(m.sent.Load())
			most = math.Max(most, float64(m.sent.Load()+m.received.Load()))
		}
		return sent, most
	}
	time.Sleep(3 * time.Second)
	before, mostBefore := total()
	time.Sleep(span)
	after, mostAfter := total()
	b.ReportMetric((after-before)/nodes/span.Seconds(), "sent_B/s/node")
	b.ReportMetric((mostAfter-mostBefore)/span.Seconds(), "busiest_sent+received_B/s")
}
