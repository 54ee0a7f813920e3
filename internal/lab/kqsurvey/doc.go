// Package kqsurvey plays many seeded rollouts in virtual time and reports how
// often good versions finish on time and bad ones are taken back, beside two
// references: a fixed timer, and a test that knows the true distributions.
package kqsurvey
