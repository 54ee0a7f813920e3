// Package kqloadmodel plays the decisions on a service's calls together in
// virtual time: entries choose, retry and shed, gates admit and queue, and what
// counts is what callers receive. It has no clock and no network, so that a load
// pattern of half a minute runs in a fraction of a second and always alike.
package kqloadmodel
