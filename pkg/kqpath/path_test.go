package kqpath_test

import (
	"fmt"
	"net/url"
	"testing"

	"pgregory.net/rapid"

	"github.com/kumquatgw/kumquatgw/pkg/kqpath"
)

func ExampleNormalize() {
	for _, path := range []string{"/plain/x", "/caf%c3%a9/", "/café/", "/%7Euser/", "/a%2fb/", "/50%/"} {
		fmt.Println(kqpath.Normalize(path))
	}
	// Output:
	// /plain/x
	// /caf%C3%A9/
	// /caf%C3%A9/
	// /~user/
	// /a%2Fb/
	// /50%25/
}

// Guards against a request that reaches another route than its path names: paths that are
// normalized alike must mean the same to an upstream.
func TestNormalizedPathsMeanTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		path := "/" + rapid.StringOf(rapid.SampledFrom([]rune("/.%25aFcC3~é \x00?"))).Draw(t, "path")
		normal := kqpath.Normalize(path)
		if again := kqpath.Normalize(normal); again != normal {
			t.Fatalf("%q is normalized to %q and then to %q", path, normal, again)
		}
		if !kqpath.IsWellFormed(normal) {
			t.Fatalf("%q is normalized to the malformed %q", path, normal)
		}
		decoded, err := url.PathUnescape(normal)
		if want, wantErr := url.PathUnescape(path); err != nil || wantErr == nil && decoded != want {
			t.Fatalf("%q is normalized to %q, which stands for %q, error %v, want %q", path, normal, decoded, err, want)
		}
	})
}
