// Package kqeject decides which upstreams are left out for a while.
//
// Load pattern: a slow or failing upstream, and one whose reports mislead. An
// upstream that fails at once looks idle and so draws work; without ejection a
// choice by load sends it more and more. One that is slow gets no second report
// in as long as nobody asks it, so that a choice by load alone would either
// leave it out for ever or go by an old figure.
//
// An upstream is ejected when it could not be reached, after 5 failures in a
// row, or when its typical work is over 3 times the median of its service's
// upstreams. It comes back by a probe: after the ejection's time one call, and
// no other until that is answered; a good answer readmits it, a bad one doubles
// the time.
package kqeject
