// Package kqledger sums up the evidence of one rollout over all gates. Each gate
// reports its cumulative counts since its start, so a lost, duplicated or late
// report causes only a short delay.
package kqledger
