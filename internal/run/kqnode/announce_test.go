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
	"github.com/kumquatgw/kumquatgw/internal/store/kqstandin"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// spoken reads announcements of the form "name ready" and "name gone".
type spoken struct{}

func (spoken) Read(_ string, body []byte) (kqlocal.Announcement, bool, error) {
	name, state, _ := strings.Cut(string(body), " ")
	a := kqlocal.Announcement{Instance: kqname.Instance(name), Gone: state == "gone"}
	if !a.Gone {
		a.Service, a.Version, a.Address, a.Slots, a.Born = "store", "v1", kqname.Address("127.0.0.1:"+map[string]string{"one": "1", "two": "2"}[name]), 4, 7
	}
	return a, true, nil
}

// silent is a platform's operators who have written nothing.
type silent struct{}

func (silent) Prefix() string { return "operators/" }

func (silent) Document(kqstore.Entry) (kqdocument.Document, kqname.ConfigVersion, bool, error) {
	return kqdocument.Document{}, 0, false, nil
}

func (silent) Order(kqstore.Entry) (kqdocument.Rollout, bool, error) {
	return kqdocument.Rollout{}, false, nil
}

// adapted runs a node beside a service over a store of its own platform.
func adapted(t *testing.T, name string, store *kqstandin.Standin) (node *kqnode.Node, stop func()) {
	t.Helper()
	s := kqsettings.Default()
	s.Node.Name, s.Node.Domain, s.Node.Service = kqname.Node(name), "one", "store"
	s.Node.EntryListen, s.Node.LocalListen, s.Node.GateListen, s.Node.ControlListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Node.DrainTimeout = time.Second
	node, err := kqnode.New(s, store, kqnode.WithAdapter(kqnode.Adapter{Announcements: spoken{}, Operators: silent{}, Lister: store}))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = node.Run(ctx) })
	stop = func() {
		cancel(kqnode.ErrKilled)
		group.Wait()
	}
	return node, stop
}

func say(t *testing.T, node *kqnode.Node, what string) {
	t.Helper()
	resp, err := http.Post(fmt.Sprintf("http://%s/announce", node.LocalAddress()), "text/plain", strings.NewReader(what))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("%s: status %d", what, resp.StatusCode)
	}
}

func serves(node *kqnode.Node) bool {
	for _, m := range node.Members() {
		if m.Node == node.Name() {
			return len(m.Upstreams) > 0
		}
	}
	return false
}

// A node starts while the store and its peers are out of reach, so that it holds
// back what its upstream announces, and the upstream says goodbye meanwhile.
// Taken in afterwards, the older announcement would bring the upstream back, and
// callers' work would be lost in its shutdown.
func TestGoodbyeWhileAnnouncementsAreHeldBack(t *testing.T) {
	store := kqstandin.New()
	store.SetFaults(kqstandin.Faults{Down: true})
	node, stop := adapted(t, "a", store)
	defer stop()
	say(t, node, "one ready")
	say(t, node, "one gone")
	store.SetFaults(kqstandin.Faults{})
	say(t, node, "two ready")
	await(t, "the other upstream is taken in", func() bool { return serves(node) })
	say(t, node, "two gone")
	if serves(node) {
		t.Error("the upstream that said goodbye is back")
	}
}

// A node is killed right after it acknowledged its upstream's goodbye. The process
// that follows must not take the upstream's late announcement for a healthy one's:
// calls would reach an upstream that ends within seconds.
func TestGoodbyeOutlivesTheProcess(t *testing.T) {
	store := kqstandin.New()
	node, stop := adapted(t, "a", store)
	say(t, node, "one ready")
	await(t, "the upstream is taken in", func() bool { return serves(node) })
	say(t, node, "one gone")
	stop()
	node, stop = adapted(t, "a", store)
	defer stop()
	say(t, node, "one ready")
	say(t, node, "two ready")
	await(t, "another upstream is taken in", func() bool { return serves(node) })
	say(t, node, "two gone")
	if serves(node) {
		t.Error("the upstream that said goodbye is back")
	}
}

// A node starts, hears as the first word of its upstream that it says goodbye,
// without the time of its start, and then an announcement that was on its way for
// seconds. Taken in, it would bring calls to an upstream that is about to end.
func TestAnnouncementThatComesAfterTheGoodbye(t *testing.T) {
	store := kqstandin.New()
	node, stop := adapted(t, "a", store)
	defer stop()
	say(t, node, "two ready")
	await(t, "another upstream is taken in", func() bool { return serves(node) })
	say(t, node, "two gone")
	say(t, node, "one gone")
	say(t, node, "one ready")
	if serves(node) {
		t.Error("the upstream that said goodbye is back")
	}
}
