package kqrates

import (
	"sync/atomic"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqadmission"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqrateshare"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

type (
	// index finds the workspaces with a rate by their hash.
	index struct {
		workspaces func() []kqdocument.Workspace
		current    atomic.Pointer[indexed]
	}

	indexed struct {
		all    []kqdocument.Workspace
		byHash map[kqrateshare.Workspace]*kqdocument.Workspace
	}
)

// refresh builds the index anew if the workspaces have changed, and returns it.
func (x *index) refresh() *indexed {
	all, before := x.workspaces(), x.current.Load()
	if before != nil && len(all) == len(before.all) && (len(all) == 0 || &all[0] == &before.all[0]) {
		return before
	}
	next := &indexed{all: all, byHash: make(map[kqrateshare.Workspace]*kqdocument.Workspace)}
	for i := range all {
		if all[i].RatePerS > 0 {
			next.byHash[hashOf(all[i].Name)] = &all[i]
		}
	}
	x.current.Store(next)
	return next
}

func (x *index) isEmpty() bool { return len(x.refresh().byHash) == 0 }

func (x *index) find(hash kqrateshare.Workspace) (*kqdocument.Workspace, bool) {
	w, ok := x.refresh().byHash[hash]
	return w, ok
}

// limit returns the limit of a workspace, and false if it has none.
func (x *index) limit(hash kqrateshare.Workspace) (kqadmission.Limit, bool) {
	w, ok := x.find(hash)
	if !ok {
		return kqadmission.Limit{}, false
	}
	return limitOf(w), true
}
