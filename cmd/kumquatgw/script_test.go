package main_test

import (
	"net/http/httptest"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kumquatgw/kumquatgw/internal/store/kqfakestore"
)

// TestScripts runs the scripts in testdata. Each has a fake store of its own,
// whose URL is in $PLATFORM.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			server := httptest.NewServer(kqfakestore.New().Handler())
			e.Defer(server.Close)
			e.Setenv("PLATFORM", server.URL)
			return nil
		},
	})
}
