// Package kqexchange keeps the member tables of nodes alike: heartbeats on the
// overlay's links, news that floods over them, and a comparison with a random
// peer that repairs what the flood lost.
package kqexchange
