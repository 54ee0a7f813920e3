// Package kqconsole is the operators' console: pages and forms of plain HTML,
// which work without scripts. Whatever is filled in becomes one validated
// document, shown as a difference before it is committed.
package kqconsole
