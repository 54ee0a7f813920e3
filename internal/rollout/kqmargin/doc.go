// Package kqmargin decides how much slower than those of the old version the
// upstreams of a new one may be for the sake of the servers that they run on.
//
// Servers of one make differ: a neighbour, an older processor, a slower disk, and
// every call takes twice as long there, whatever the version. A rollout begins with
// one upstream or two. If one stands on such a server, the version looks as slow as
// its server beside the mean of many, tick for tick; more calls make it surer, never
// righter, and a good version is taken back.
//
// What servers do is seen at the old version's own upstreams. The slowest upstream of
// the new version is allowed what the slowest of the old one shows, the next what the
// next shows, and so on: however the new one's servers were drawn out of the like, it
// is hardly slower than that. One standard deviation of what two such draws differ by is
// allowed at least, since the old version may have had the luckier one. Where the old
// version's upstreams are alike, next to nothing is allowed.
//
// A slow server makes all calls slower, the quick ones too. More is thus not allowed
// than the 25th percentile of the upstream's own calls is over that of the old version's,
// beyond its standard error: a version that is many times slower for a part of its
// calls is not taken for one on a slow server.
//
// Chance alone makes some upstream the slowest. By how much upstreams really differ
// is worked out from what their means differ by beyond what their calls' own spread
// explains (the moment estimate of DerSimonian and Laird), and each one's difference
// is drawn towards none by the part of it that may be chance.
package kqmargin
