// Package kqworld models, in virtual time, a service whose new upstream version
// is good or bad in a stated way: slots, load-dependent slowness, cold starts,
// noise, herd restarts, a slow shared dependency and differences by route. One
// tick is one second; calls are drawn together for each tick.
package kqworld
