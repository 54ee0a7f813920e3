package kqrates

import (
	"math"
	"time"

	"github.com/kumquatgw/kumquatgw/internal/decide/kqadmission"
	"github.com/kumquatgw/kumquatgw/internal/decide/kqrateshare"
)

// shareUnits is the number of units in which a share is sent.
const shareUnits = 10000

type (
	// Report is what a node tells a coordinator about all shards that it coordinates.
	Report struct {
		// Known is the number of nodes that the sender counts; its portion of each rate is
		// one of them.
		Known int `cbor:"1,keyasint"`
		// ShardCount is the number of shards by which the sender divides workspaces.
		ShardCount int           `cbor:"2,keyasint"`
		Shards     []ShardReport `cbor:"3,keyasint"`
	}

	// ShardReport holds the calls of a shard's workspaces, which the sender counted in
	// CoveredMS milliseconds. Counts holds two numbers for each workspace: the calls that
	// arrived and those that were admitted.
	ShardReport struct {
		Index      int                     `cbor:"1,keyasint,omitempty"`
		CoveredMS  int64                   `cbor:"2,keyasint,omitempty"`
		Workspaces []kqrateshare.Workspace `cbor:"3,keyasint,omitempty"`
		Counts     []int64                 `cbor:"4,keyasint,omitempty"`
	}

	// Answer holds the shards of a report of which there is anything to tell. StartingMS is
	// set in place of them if the receiver does not coordinate yet, for so many milliseconds.
	Answer struct {
		Shards     []ShardAnswer `cbor:"1,keyasint,omitempty"`
		StartingMS int64         `cbor:"2,keyasint,omitempty"`
	}

	// ShardAnswer names the workspaces of a shard whose share of calls is below 1. Values
	// holds three numbers for each: the share in units of 1/10,000, and wait and spread in
	// milliseconds. Unknown are the reported workspaces that have no rate at the coordinator.
	// Learning is set while the coordinator has counts but no answers yet.
	ShardAnswer struct {
		Index      int                     `cbor:"1,keyasint,omitempty"`
		Workspaces []kqrateshare.Workspace `cbor:"2,keyasint,omitempty"`
		Values     []int64                 `cbor:"3,keyasint,omitempty"`
		Unknown    []kqrateshare.Workspace `cbor:"4,keyasint,omitempty"`
		Learning   bool                    `cbor:"5,keyasint,omitempty"`
	}
)

// counts returns the counts by workspace. Numbers that are missing count as 0.
func (r ShardReport) counts() map[kqrateshare.Workspace]kqrateshare.Counts {
	m := make(map[kqrateshare.Workspace]kqrateshare.Counts, len(r.Workspaces))
	for i, w := range r.Workspaces {
		if 2*i+1 < len(r.Counts) {
			m[w] = kqrateshare.Counts{Arrived: r.Counts[2*i], Admitted: r.Counts[2*i+1]}
		}
	}
	return m
}

// add names a workspace.
func (a *ShardAnswer) add(w kqrateshare.Workspace, x kqadmission.Answer) {
	a.Workspaces = append(a.Workspaces, w)
	a.Values = append(a.Values, int64(math.Floor(x.Share*shareUnits)), x.Wait.Milliseconds(), x.Spread.Milliseconds())
}

// answers returns the answers by workspace.
func (a ShardAnswer) answers() map[kqrateshare.Workspace]kqadmission.Answer {
	m := make(map[kqrateshare.Workspace]kqadmission.Answer, len(a.Workspaces))
	for i, w := range a.Workspaces {
		if 3*i+2 >= len(a.Values) {
			break
		}
		v := a.Values[3*i : 3*i+3]
		m[w] = kqadmission.Answer{
			Share: min(max(float64(v[0])/shareUnits, 0), 1),
			Wait:  time.Duration(v[1]) * time.Millisecond, Spread: time.Duration(v[2]) * time.Millisecond,
		}
	}
	return m
}
