// Package kqresource splits a document into immutable, content-addressed objects and
// a small root record that names them all. A change of one service then transfers a
// root and one object instead of the fleet's whole document.
package kqresource
