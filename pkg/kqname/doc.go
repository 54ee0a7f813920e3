// Package kqname defines a string type for each kind of identifier in kumquatgw, so
// that the compiler rejects, for example, a host where a service is expected.
package kqname
