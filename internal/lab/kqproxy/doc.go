// Package kqproxy forwards TCP connections over loopback and injects network faults on
// demand: it delays, holds back, resets or refuses traffic. It does not interpret the
// bytes that it forwards.
package kqproxy
