// Package kqaudit keeps the latest changes that operators tried, accepted and
// refused. Accepted ones last in the document's history on the platform;
// refused ones last in the log and, bounded, here.
package kqaudit
