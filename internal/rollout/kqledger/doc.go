// Package kqledger adds up the evidence of one rollout over all gates. Each
// gate tells its counts since its start, so a report that is lost, doubled or
// late costs nothing but a little time.
package kqledger
