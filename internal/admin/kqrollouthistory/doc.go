// Package kqrollouthistory samples the status of rollouts over time for the console's
// plots. No decision depends on it.
package kqrollouthistory
