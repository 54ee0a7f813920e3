package kqdocument_test

import (
	"fmt"

	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

// A route that leads to a service which the document lacks is told at its field.
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
