package kqdocument

import _ "embed"

// schema is generated from the types and comments of this package by
// TestSchemaMatchesTheTypes with -update; without the flag, the test checks that it is
// up to date.
//
//go:embed document.schema.json
var schema []byte

// Schema returns the JSON schema of a document. The schema describes the structure
// of a document; Validate also checks references between its items.
func Schema() []byte { return schema }
