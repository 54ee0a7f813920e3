// Package kqresource splits a document into immutable objects named by their
// digest, and a small root record that names them all. A change of one service
// then costs a root and one object, not the fleet's whole document.
package kqresource
