// Package kqoperator authenticates operators by token. Each operator is an admin or
// a member of one team.
//
// The token file holds one operator per line, "NAME ROLE TEAM HASH", where ROLE is
// admin or member, TEAM is "-" for admins, and HASH is the SHA-256 of the token in
// hex. Empty lines and lines that begin with # are ignored.
//
// A token has 256 random bits, so a fast hash is as safe as a slow one: there is no
// dictionary of likely tokens to try. Slow hashes such as bcrypt protect passwords
// that people choose; here one would cost each request tens of milliseconds, or need
// a cache of verified tokens that would have to be protected.
package kqoperator
