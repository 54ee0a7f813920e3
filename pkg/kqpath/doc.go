// Package kqpath compares the paths of requests and of routes. Two paths are equivalent if
// they differ only in what RFC 3986, section 6.2.2, calls case and percent-encoding
// normalization: the case of the hexadecimal digits in an escape, and whether an unreserved
// character is escaped. Characters beyond ASCII stand for the escapes of their UTF-8 bytes,
// as in RFC 3987. Dot segments, doubled slashes and escaped slashes stay as they are: an
// upstream may tell them apart.
package kqpath
