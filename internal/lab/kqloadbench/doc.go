// Package kqloadbench measures the results that callers receive under the load
// patterns of the users' requirements, with kumquatgw's decisions and with a
// baseline: a first-come queue, random selection of upstreams and plain retries.
package kqloadbench
