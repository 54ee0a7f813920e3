// Package kqchange applies operators' changes to the configuration document.
// The API and the console both build an Edit; it is checked against the
// operator's permissions, validated and committed.
package kqchange
