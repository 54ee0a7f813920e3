// Package kqoperator knows who may drive the fleet: operators by token, each an
// admin or a member of one team.
//
// The tokens' file holds one operator a line, "NAME ROLE TEAM HASH", where ROLE
// is admin or member, TEAM is "-" for admins, and HASH is the SHA-256 of the
// token in hex. Empty lines and lines that begin with # are passed over.
//
// A token is 256 random bits, so a fast hash keeps it as safe as a slow one: no
// list of likely tokens can be tried against it. A slow hash such as bcrypt is
// for words that people choose; here it would cost each request tens of
// milliseconds, or a cache of verified tokens to guard.
package kqoperator
