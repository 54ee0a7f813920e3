// Package kqcommand is the command line of kumquatgw: one file a command.
package kqcommand
