// Package kqproxy forwards TCP connections over loopback and injects network faults on
// demand: it delays, holds back, resets or refuses traffic.
package kqproxy
