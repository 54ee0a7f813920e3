// Package kqaudit records the latest changes that operators attempted, accepted
// or refused, and the latest requests and logins that failed authentication. It keeps
// them in memory and writes them to the log. Accepted changes are also kept in the
// document's history on the platform.
package kqaudit
