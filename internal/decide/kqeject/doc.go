// Package kqeject decides which upstreams are ejected for a while.
//
// Load pattern: a slow or failing upstream, or one with misleading reports. An upstream
// that fails immediately looks idle and so attracts calls; without ejection, a choice by
// load sends it more and more. A slow upstream sends no new report while it gets no calls,
// so a choice by load alone would either avoid it for ever or rely on an outdated report.
//
// An upstream is ejected when it is unreachable, after 5 consecutive failures, when 30% of
// its last 16 calls or so failed, or when the recent work of its short calls exceeds 3 times
// the median of its service's upstreams. After the ejection time it gets one call as a
// probe, and no other until that has ended, unless all upstreams are ejected: kqpick then
// still sends calls to one of them. A probe that does not fail readmits the upstream unless
// its recent work is still too high; otherwise the ejection time doubles, up to 30 s. At
// most a third of the upstreams are ejected at a time, not counting unreachable ones.
package kqeject
