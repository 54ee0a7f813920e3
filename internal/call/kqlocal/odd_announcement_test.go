package kqlocal_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/call/kqlocal"
	"github.com/kumquatgw/kumquatgw/internal/peer/kqmember"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// Guards against an announcement that names no usable upstream and takes the place of a live one.
func TestOddAnnouncementLeavesTheLiveUpstream(t *testing.T) {
	start := time.Unix(1000, 0)
	live := kqlocal.Announcement{Service: "store", Version: "v1", Address: "127.0.0.1:80", Slots: 4, Instance: "one", StartedMS: 990_000, Sequence: 7}
	for name, change := range map[string]func(*kqlocal.Announcement){
		"port out of range":    func(a *kqlocal.Announcement) { a.Address = "127.0.0.1:99999" },
		"port 0":               func(a *kqlocal.Announcement) { a.Address = "127.0.0.1:0" },
		"negative port":        func(a *kqlocal.Announcement) { a.Address = "127.0.0.1:-80" },
		"no port":              func(a *kqlocal.Announcement) { a.Address = "127.0.0.1" },
		"no host":              func(a *kqlocal.Announcement) { a.Address = ":80" },
		"a path":               func(a *kqlocal.Announcement) { a.Address = "127.0.0.1:80/x" },
		"a line end":           func(a *kqlocal.Announcement) { a.Address = "127.0.0.1\r\n:80" },
		"a very long address":  func(a *kqlocal.Announcement) { a.Address = kqname.Address(strings.Repeat("1", 1<<20) + ":80") },
		"no slots":             func(a *kqlocal.Announcement) { a.Slots = 0 },
		"too many slots":       func(a *kqlocal.Announcement) { a.Slots = math.MaxInt },
		"no service":           func(a *kqlocal.Announcement) { a.Service = "" },
		"a start to come":      func(a *kqlocal.Announcement) { a.StartedMS = math.MaxInt64 },
		"an endless cold time": func(a *kqlocal.Announcement) { a.WarmUpLeft = math.MaxInt64 },
	} {
		t.Run(name, func(t *testing.T) {
			u := kqlocal.New(time.Minute, func([]kqmember.Upstream) {})
			if err := u.Announce(live, start); err != nil {
				t.Fatal(err)
			}
			odd := live
			odd.Instance, odd.Sequence = "two", 8
			change(&odd)
			err := u.Announce(odd, start.Add(time.Second))
			if err == nil {
				t.Error("the odd announcement was accepted")
			} else if len(err.Error()) > 500 {
				t.Errorf("the error has %d bytes", len(err.Error()))
			}
			if found, _ := u.Find("store", "v1"); found != live {
				t.Errorf("the node's upstream is %+v, want the live one", found)
			}
		})
	}
}

// Guards against sequence numbers of another writer, which later announcements never reach.
func TestOddSequenceDoesNotEndTheLiveUpstream(t *testing.T) {
	now := time.Unix(1000, 0)
	u := kqlocal.New(8*time.Second, func([]kqmember.Upstream) {})
	live := kqlocal.Announcement{Service: "store", Version: "v1", Address: "127.0.0.1:80", Slots: 4, Instance: "one", StartedMS: 990_000, Sequence: 7}
	odd := live
	odd.Sequence = math.MaxUint64
	for _, a := range []kqlocal.Announcement{live, odd} {
		if err := u.Announce(a, now); err != nil {
			t.Fatal(err)
		}
	}
	for range 12 {
		now = now.Add(time.Second)
		live.Sequence++
		if err := u.Announce(live, now); err != nil {
			t.Fatal(err)
		}
		if removed := u.Sweep(now); len(removed) > 0 {
			t.Fatalf("the live upstream was removed at %v", now)
		}
	}
}
