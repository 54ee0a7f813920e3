// Package kqmargin computes how much slower than the old version the upstreams of
// a new version may be because of the servers that they run on.
//
// Servers of the same kind differ: because of a noisy neighbor, an older processor
// or a slower disk, every call may take twice as long on one, whatever the version.
// A rollout begins with one or two upstreams. If one of them runs on a slow server,
// the version looks slow compared with the mean of many old upstreams. More calls
// only make this wrong result more certain, and a good version is rolled back.
//
// The effect of servers is estimated from the old version's own upstreams. The
// slowest upstream of the new version may be as slow as the slowest of the old one,
// the second slowest as the second, and so on: if its servers were drawn from
// similar ones, it is hardly ever slower than that. At least one standard deviation
// of the difference between two such draws is allowed, since the old version may
// have had the luckier draw. Where the old version's upstreams are alike, next to
// nothing is allowed.
//
// A slow server slows down all calls, the fast ones too. The margin is therefore
// limited to the difference between the 25th percentiles of the upstream's own calls
// and the old version's, plus its standard error: a version that is many times slower
// for only some of its calls is not mistaken for one on a slow server.
//
// Some upstream is always the slowest by chance. The real variance between upstreams
// is estimated from the differences of their means beyond what the spread of their
// calls explains (the moment estimator of DerSimonian and Laird), and each upstream's
// difference is shrunk towards zero by the part that may be chance.
package kqmargin
