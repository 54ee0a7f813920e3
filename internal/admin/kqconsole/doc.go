// Package kqconsole implements the operators' console: plain HTML pages and
// forms that work without scripts. A submitted form is an edit of the document;
// it is validated and shown as a difference before it is committed.
package kqconsole
