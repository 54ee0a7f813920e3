// Package kqloadmodel is a discrete-event simulation of one service's calls.
// Entries pick upstreams, retry and shed load, gates admit and queue calls, and
// results are counted as callers receive them. It uses virtual time and no
// network, so that a load pattern of 30 s runs in a fraction of a second and is
// deterministic. Lost messages, crashes and membership changes are not simulated.
package kqloadmodel
