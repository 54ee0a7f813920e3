package kqdocument_test

import (
	"fmt"

	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

// Validate reports a route to a service that the document lacks, with the path of the
// route's field.
func ExampleValidate() {
	d, err := kqdocument.Parse([]byte(`{
		"teams": [{"name": "shop"}],
		"routes": [{"name": "home", "team": "shop", "host": "shop", "path_prefix": "/", "service": "store"}]
	}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, p := range kqdocument.Validate(d) {
		fmt.Println(p)
	}
	// Output: routes[0].service: "store" is not in the document
}
