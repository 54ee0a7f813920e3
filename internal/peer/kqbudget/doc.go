// Package kqbudget makes a node's bulk control traffic wait while its outgoing control
// traffic exceeds a rate. Other control traffic is counted but never waits.
package kqbudget
