package kqnode_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/run/kqnode"
	"github.com/kumquatgw/kumquatgw/internal/run/kqsettings"
	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// textAnnouncements parses announcements of the form "name ready" and "name gone".
type textAnnouncements struct{}

func (textAnnouncements) Read(_ string, body []byte) (kqlocal.Announcement, bool, error) {
	name, state, _ := strings.Cut(string(body), " ")
	a := kqlocal.Announcement{Instance: kqname.Instance(name), Gone: state == "gone"}
	if !a.Gone {
		a.Service, a.Version, a.Address, a.Slots, a.StartedMS = "store", "v1", kqname.Address("127.0.0.1:"+map[string]string{"one": "1", "two": "2"}[name]), 4, 7
	}
	return a, true, nil
}

// emptyOperators decodes the entries of a platform whose operators have written nothing.
type emptyOperators struct{}

func (emptyOperators) Prefix() string { return "operators/" }

func (emptyOperators) Document(kqstore.Entry) (kqdocument.Document, kqname.ConfigVersion, bool, error) {
	return kqdocument.Document{}, 0, false, nil
}

func (emptyOperators) Order(kqstore.Entry) (kqdocument.Rollout, bool, error) {
	return kqdocument.Rollout{}, false, nil
}

func (emptyOperators) Evacuation(kqstore.Entry) (kqdocument.Evacuation, bool, error) {
	return kqdocument.Evacuation{}, false, nil
}

// startWithAdapter starts a node for an upstream of the service "store", with an adapter to
// a platform. kill ends the node without a drain.
func startWithAdapter(t *testing.T, name string, store *kqfakestore.Fake, options ...func(*kqsettings.Settings)) (node *kqnode.Node, kill func()) {
	t.Helper()
	s := kqsettings.Default()
	s.Node.Name, s.Node.Domain, s.Node.Service = kqname.Node(name), "one", "store"
	s.Node.EntryListen, s.Node.LocalListen, s.Node.GateListen, s.Node.ControlListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Node.DrainTimeout = time.Second
	for _, o := range options {
		o(&s)
	}
	node, err := kqnode.New(s, store, kqnode.WithAdapter(kqnode.Adapter{Announcements: textAnnouncements{}, OperatorDecoder: emptyOperators{}, Lister: store}))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = node.Run(ctx) })
	kill = func() {
		cancel(kqnode.ErrKilled)
		group.Wait()
	}
	return node, kill
}

func sendAnnouncement(t *testing.T, node *kqnode.Node, text string) {
	t.Helper()
	resp, err := http.Post(fmt.Sprintf("http://%s/announce", node.LocalAddress()), "text/plain", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("%s: status %d", text, resp.StatusCode)
	}
}

func hasUpstream(node *kqnode.Node) bool {
	for _, m := range node.Members() {
		if m.Node == node.Name() {
			return len(m.Upstreams) > 0
		}
	}
	return false
}

// A node that starts while the store is unavailable and no peer is known holds announcements.
// If the upstream leaves meanwhile, its held announcement must not be applied later: that
// would bring the upstream back, and calls would be lost in its shutdown.
func TestDepartureWhileAnnouncementsAreHeld(t *testing.T) {
	store := kqfakestore.New()
	store.SetFaults(kqfakestore.Faults{Down: true})
	node, kill := startWithAdapter(t, "a", store)
	defer kill()
	sendAnnouncement(t, node, "one ready")
	sendAnnouncement(t, node, "one gone")
	store.SetFaults(kqfakestore.Faults{})
	sendAnnouncement(t, node, "two ready")
	await(t, "an upstream is listed", func() bool { return hasUpstream(node) })
	sendAnnouncement(t, node, "two gone")
	if hasUpstream(node) {
		t.Error("the upstream that left is listed again")
	}
}

// A node is killed right after it acknowledged its upstream's departure. Its next process
// must not accept a late announcement of that upstream: calls would reach an upstream that
// ends within seconds.
func TestGoodbyeOutlivesTheProcess(t *testing.T) {
	store := kqfakestore.New()
	node, kill := startWithAdapter(t, "a", store)
	sendAnnouncement(t, node, "one ready")
	await(t, "the upstream is announced", func() bool { return hasUpstream(node) })
	sendAnnouncement(t, node, "one gone")
	kill()
	node, kill = startWithAdapter(t, "a", store)
	defer kill()
	sendAnnouncement(t, node, "one ready")
	sendAnnouncement(t, node, "two ready")
	await(t, "an upstream is listed", func() bool { return hasUpstream(node) })
	sendAnnouncement(t, node, "two gone")
	if hasUpstream(node) {
		t.Error("the upstream that left is listed again")
	}
}

// The first message of an upstream to a new node is its departure, without a start time,
// and an earlier announcement arrives after it. If the node accepted that announcement,
// calls would reach an upstream that is about to end.
func TestLateAnnouncementAfterDeparture(t *testing.T) {
	store := kqfakestore.New()
	node, kill := startWithAdapter(t, "a", store)
	defer kill()
	sendAnnouncement(t, node, "two ready")
	await(t, "an upstream is listed", func() bool { return hasUpstream(node) })
	sendAnnouncement(t, node, "two gone")
	sendAnnouncement(t, node, "one gone")
	sendAnnouncement(t, node, "one ready")
	if hasUpstream(node) {
		t.Error("the upstream that left is listed again")
	}
}
