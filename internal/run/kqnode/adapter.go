package kqnode

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/internal/call/kqcall"
	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/config/kqorigin"
	"github.com/kumquatgw/kumquatgw/internal/rollout/kqboard"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

type (
	// Adapter joins a node to a platform whose operators, upstreams and callers
	// speak forms of their own. Parts that are nil stay this program's.
	Adapter struct {
		// Dialect is what callers and upstreams say in their headers. Callers and
		// the local upstream then share one listener, the entry's.
		Dialect kqcall.Dialect
		// Announcements reads what the local upstream says of itself.
		Announcements Announcements
		// Operators reads the document and the orders that operators write into
		// the store themselves, and Lister follows them.
		Operators kqorigin.Decoder
		Lister    kqstore.Lister
		// Answered has f told of each call to the store: its kind, and its answer's
		// status or 0 where none came.
		Answered func(f func(call string, status int))
		// Reports writes for operators how their orders stand.
		Reports Reports
	}

	// Announcements reads a request of the local upstream, and reports false for
	// one that is no announcement.
	Announcements interface {
		Read(uri string, body []byte) (kqlocal.Announcement, bool, error)
	}

	// Reports gives the key and the value that tell operators of an order.
	Reports interface {
		Report(s kqname.Service, to kqname.UpstreamVersion, state kqboard.State) (key string, value []byte, err error)
	}
)

// WithAdapter joins the node to a platform by an adapter.
func WithAdapter(a Adapter) Option { return func(n *Node) { n.adapter = a } }

// storeAnswered counts a call to the store, and notes when the store is lost and
// regained.
func (n *Node) storeAnswered(call string, status int) {
	n.metrics.StoreAnswered(call, status)
	lost := status == 0 || status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests
	if n.storeLost.Swap(lost) == lost {
		return
	}
	entry := n.logger.Part("store").WithFields(logrus.Fields{"event": "store", "call": call, "status": status})
	if lost {
		entry.Warn("Store does not answer.")
	} else {
		entry.Info("Store answers again.")
		if n.distribution.register != nil {
			n.distribution.register.Wake()
		}
	}
}

// tellStore notes now and then which calls this node has made to the store.
func (n *Node) tellStore(time.Time) {
	n.logger.Part("store").WithFields(logrus.Fields{"event": "store_calls", "calls": n.metrics.StoreCalls()}).Info("Calls to the store so far.")
}

// serveReady answers whoever places callers.
func (n *Node) serveReady(ctx *fasthttp.RequestCtx) {
	switch {
	case string(ctx.Path()) != n.settings.Node.ReadyPath:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case !n.Ready():
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}
