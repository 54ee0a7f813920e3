// Package kqname holds the named types for the identifiers that the parts of
// kumquatgw pass to each other, so that a host is never taken for a service.
package kqname
