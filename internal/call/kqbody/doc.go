// Package kqbody bounds the bytes of requests' bodies that a node holds at once.
//
// Bodies are held whole until they are sent on. Callers that send large ones at the
// same time would take a node over its server's memory; the kernel then ends the
// process, and cuts every call under way.
package kqbody
