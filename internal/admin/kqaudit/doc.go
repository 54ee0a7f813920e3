// Package kqaudit records the latest changes that operators submitted, accepted or
// refused, and most requests and logins that failed authentication. It does not record dry
// runs, nor requests refused before their change was submitted. It keeps the records in
// memory and writes them to the log. Committed changes are also kept in the document's
// history on the platform.
package kqaudit
