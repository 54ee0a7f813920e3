// Package kqproxy passes connections on over loopback, and harms them on demand: it
// delays, holds back, resets or refuses what goes through it.
package kqproxy
