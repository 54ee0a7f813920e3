// Package kqsurvey simulates many seeded rollouts in virtual time and reports how
// often good versions finish on time and bad ones are rolled back. It compares
// kumquatgw with two references: a baseline that advances on a fixed schedule and
// rolls back above a fixed error rate, and an oracle that knows the true distributions.
// Record writes one such rollout as a trace.
package kqsurvey
