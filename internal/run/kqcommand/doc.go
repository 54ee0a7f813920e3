// Package kqcommand implements the command line of kumquatgw: it parses the arguments,
// runs the command that they name and prints its result. The work of the commands is
// done by other packages.
package kqcommand
