// Package kqlease decides when a node takes, renews and gives up one of the
// reader slots of its failure domain.
package kqlease
