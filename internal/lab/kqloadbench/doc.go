// Package kqloadbench measures what callers receive under the load patterns of
// the users' brief, with kumquatgw's decisions and with a plain baseline beside
// them: first-come queue, random choice, plain retries.
package kqloadbench
