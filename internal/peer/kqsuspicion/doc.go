// Package kqsuspicion shares among all nodes under which requests upstreams have ended, so that
// the next node to get such a request knows of them. Nodes flood what they see, ask peers when
// they start, and keep requests that are refused in the platform's store, for the case that
// all nodes start anew.
package kqsuspicion
