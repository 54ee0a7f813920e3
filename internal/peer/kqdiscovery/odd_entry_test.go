package kqdiscovery_test

import (
	"strings"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
	"github.com/kumquatgw/kumquatgw/internal/store/kqstore"
)

// Guards against an entry of another writer that ends the lookup of the others, or is taken for a node.
func TestOddEntryLeavesTheOthers(t *testing.T) {
	store := kqfakestore.New()
	for key, value := range map[string]string{
		"z":          `{"control":"z:1","domain":"d"}`,
		"nested":     strings.Repeat(`{"a":`, 100_000),
		"list":       strings.Repeat("[", 100_000),
		"number":     `{"control":"n:1","domain":"d","link_mbits":1e999}`,
		"negative":   `{"control":"n:1","domain":"d","link_mbits":-1}`,
		"type":       `{"control":17,"domain":"d"}`,
		"port":       `{"control":"n:99999","domain":"d"}`,
		"no address": `{"domain":"d"}`,
		"bytes":      "\xff\x00",
		"empty":      "",
	} {
		if _, err := store.Put(t.Context(), "kumquatgw/nodes/"+key, []byte(value), kqstore.NoLease); err != nil {
			t.Fatal(err)
		}
	}
	p, _ := start(t, store, "a")
	await(t, "the usable entry is found", func() bool { _, ok := p.find("z"); return ok })
	time.Sleep(50 * time.Millisecond)
	if n := p.PeerCount(); n != 1 {
		t.Errorf("%d nodes were introduced, want the usable one", n)
	}
}
