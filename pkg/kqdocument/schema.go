package kqdocument

import _ "embed"

// schema is generated from the types of this package; a test compares them.
//
//go:embed document.schema.json
var schema []byte

// Schema returns the JSON schema of a document. It says what a document is made
// of; Validate also checks what its parts say of each other.
func Schema() []byte { return schema }
