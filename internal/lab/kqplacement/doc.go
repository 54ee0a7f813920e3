// Package kqplacement is a discrete-event simulation that compares ways to choose an upstream
// on one trace: the same arrivals, work and slow periods of upstreams for each policy. It uses
// the decisions of the real entries and gates, virtual time and no network.
package kqplacement
