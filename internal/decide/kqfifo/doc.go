// Package kqfifo is the baseline that measurements set beside kqslots: one
// bounded queue, first come, first served, whoever calls and however long a
// call's work is.
package kqfifo
