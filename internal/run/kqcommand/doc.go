// Package kqcommand implements the command line of kumquatgw.
package kqcommand
