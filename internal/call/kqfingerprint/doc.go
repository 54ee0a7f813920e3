// Package kqfingerprint identifies requests by their content, whatever ids they carry and
// whichever caller sends them.
package kqfingerprint
