package kqnode

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/config/kqorigin"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqtracker"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// Adapter connects a node to a platform whose operators, upstreams and callers use
	// formats of their own. Each field may be nil, but OperatorDecoder and Announcements
	// require Lister. Without Dialect or Announcements, the program's own format is used;
	// without OperatorDecoder, the console's commits are read; without Reports, no reports
	// are written.
	Adapter struct {
		// Dialect reads and writes the headers of callers and upstreams. With it, the
		// local upstream makes its calls through the entry's listener, as callers do.
		Dialect kqcall.Dialect
		// Announcements parses the local upstream's announcements. With it, the local
		// listener serves announcements only. They are held until the node has learned
		// earlier departures, which it does only with Lister and the strategy overlay.
		Announcements Announcements
		// OperatorDecoder decodes the document and the rollout orders that operators write
		// to the store directly. Lister lists and follows those entries, and those through
		// which nodes find each other and share departures of upstreams.
		OperatorDecoder kqorigin.Decoder
		Lister          kqstore.Lister
		// OnResponse registers f, which is called after each call to the store with the
		// call's kind and the answer's status, or 0 without an answer.
		OnResponse func(f func(call string, status int))
		// Reports encodes the state of a rollout order, which operators read in the store.
		Reports Reports
	}

	// Announcements parses a request of the local upstream. The bool is false for a
	// request that is not an announcement.
	Announcements interface {
		Read(uri string, body []byte) (kqlocal.Announcement, bool, error)
	}

	// Reports returns the store key and value that report the state of a rollout order
	// to operators.
	Reports interface {
		Report(s kqname.Service, to kqname.UpstreamVersion, state kqtracker.State) (key string, value []byte, err error)
	}
)

// WithAdapter connects the node to a platform with formats of its own.
func WithAdapter(a Adapter) Option { return func(n *Node) { n.adapter = a } }

// recordStoreCall counts a call to the store. It logs when the store becomes unavailable
// and when it is available again, and then renews the node's discovery entry, whose lease
// may have expired. Answers with status 429 or 503 count as unavailable.
func (n *Node) recordStoreCall(call string, status int) {
	n.metrics.CountStoreCall(call, status)
	unavailable := status == 0 || status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests
	if n.storeUnavailable.Swap(unavailable) == unavailable {
		return
	}
	entry := n.logger.Part("store").WithFields(logrus.Fields{"event": "store", "call": call, "status": status})
	if unavailable {
		// A store that answers 429 or 503 is logged with the same text. kqexplain looks
		// for "does not" in it.
		entry.Warn("Store does not answer.")
	} else {
		entry.Info("Store answers again.")
		if n.distribution.discovery != nil {
			n.distribution.discovery.RenewNow()
		}
	}
}

// logStoreCalls logs how many calls of each kind and status this node has made to the
// store.
func (n *Node) logStoreCalls(time.Time) {
	n.logger.Part("store").WithFields(logrus.Fields{"event": "store_calls", "calls": n.metrics.StoreCalls()}).Info("Calls to the store so far.")
}

// serveReady answers readiness probes.
func (n *Node) serveReady(ctx *fasthttp.RequestCtx) {
	switch {
	case string(ctx.Path()) != n.settings.Node.ReadyPath:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case !n.Ready():
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}
