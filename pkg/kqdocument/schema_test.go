package kqdocument_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/invopop/jsonschema"

	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

var update = flag.Bool("update", false, "regenerate document.schema.json")

// Guards against a type that changes without the published schema: editors would then
// mark valid documents as invalid.
func TestSchemaMatchesTheTypes(t *testing.T) {
	r := &jsonschema.Reflector{ExpandedStruct: true, Mapper: nameSchema, Namer: namer}
	if err := r.AddGoComments("github.com/kumquatgw/kumquatgw/pkg/kqdocument", "./"); err != nil {
		t.Fatal(err)
	}
	want, err := json.MarshalIndent(r.Reflect(&kqdocument.Document{}), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	want = append(want, '\n')
	if *update {
		if err := os.WriteFile("document.schema.json", want, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if !bytes.Equal(kqdocument.Schema(), want) {
		t.Error("document.schema.json does not match the types; run this test with -update and build again")
	}
}

// namer adds the suffix Name to the types of kqname, which would otherwise clash with
// the document's types, such as Service.
func namer(t reflect.Type) string {
	if t.PkgPath() == reflect.TypeFor[kqname.Service]().PkgPath() {
		return t.Name() + "Name"
	}
	return t.Name()
}

// nameSchema returns the schema of the types of kqname that documents use, whose values
// are plain names (an upstream version may also be empty), and nil for other types.
func nameSchema(t reflect.Type) *jsonschema.Schema {
	if t.PkgPath() != reflect.TypeFor[kqname.Service]().PkgPath() || t.Kind() != reflect.String {
		return nil
	}
	pattern := `^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$`
	if t == reflect.TypeFor[kqname.UpstreamVersion]() {
		pattern = strings.Replace(pattern, "^", "^$|^", 1)
	}
	return &jsonschema.Schema{Type: "string", Pattern: pattern}
}
