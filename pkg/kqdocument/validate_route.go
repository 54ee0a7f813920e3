package kqdocument

import (
	"fmt"
	"maps"
	"net/http"
	"path"
	"slices"
	"strings"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	maxPrefix      = 512
	maxHeaders     = 8
	maxHeaderName  = 64
	maxHeaderValue = 256
	ownHeaders     = "kq-"
	maxWeight      = 1000000
	maxAttempts    = 16

	// tokenSigns may stand in a header's name beside letters and digits
	// (RFC 9110, section 5.6.2).
	tokenSigns = "!#$%&'*+-.^_`|~"
)

var (
	methods = []string{
		"", http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}
	classes = []Class{"", ClassCritical, ClassNormal, ClassBackground}
)

func (c *checker) route(at string, r Route) {
	c.when(!kqname.Valid(r.Host), at+".host", "is not a lower-case host name")
	c.when(!cleanPrefix(r.PathPrefix), at+".path_prefix",
		fmt.Sprintf("must be a plain path of at most %d bytes that begins with /", maxPrefix))
	c.when(!slices.Contains(methods, r.Method), at+".method", "is not an HTTP method in capitals")
	c.when(!slices.Contains(classes, r.Class), at+".class", "must be critical, normal or background")
	c.when(len(r.Headers) > maxHeaders, at+".headers", fmt.Sprintf("has more than %d headers", maxHeaders))
	c.timeout(at, r.TimeoutMS)
	seen := make(map[string]bool)
	for _, name := range slices.Sorted(maps.Keys(r.Headers)) {
		field := fmt.Sprintf("%s.headers[%.64q]", at, name)
		folded := strings.ToLower(name)
		c.when(!isToken(name), field, "is not a header's name")
		c.when(strings.HasPrefix(folded, ownHeaders), field, "is a header of the system's own, which callers cannot set")
		c.when(seen[folded], field, "stands twice, in two cases")
		c.when(!cleanValue(r.Headers[name]), field, fmt.Sprintf("must have a value of 1 to %d visible characters", maxHeaderValue))
		seen[folded] = true
	}
}

// parts refuses a route that says two things of where its calls go, or whose
// weights share nothing out.
func (c *checker) parts(at string, r Route) {
	total := 0.0
	seen := make(map[kqname.Service]bool)
	for i, p := range r.Parts {
		field := fmt.Sprintf("%s.parts[%d]", at, i)
		// Written so that NaN, which compares as false, is refused too.
		c.when(!(p.Weight >= 0 && p.Weight <= maxWeight), field+".weight", fmt.Sprintf("must be from 0 to %d", maxWeight))
		c.when(seen[p.Service], field+".service", "stands twice")
		seen[p.Service] = true
		total += p.Weight
	}
	c.when(len(r.Parts) > 0 && r.Service != "", at+".service", "stands beside parts")
	c.when(len(r.Parts) > 0 && !(total > 0), at+".parts", "have no weight at all")
	c.when(r.Idempotent && r.NotIdempotent, at+".not_idempotent", "stands beside idempotent")
	c.when(r.MaxAttempts < 0 || r.MaxAttempts > maxAttempts, at+".max_attempts", fmt.Sprintf("must be from 0 to %d", maxAttempts))
	c.when(r.TargetMS < 0 || r.TargetMS > maxTimeoutMS, at+".target_ms", fmt.Sprintf("must be from 0 to %d", maxTimeoutMS))
}

// timeoutOver refuses a route whose calls would outlive what its service is
// said to take at most.
func (c *checker) timeoutOver(at string, r Route, s Service) {
	most := s.TimeoutMS
	if most == 0 {
		most = defaultTimeoutMS
	}
	c.when(s.Name != "" && r.TimeoutMS > most, at+".timeout_ms", fmt.Sprintf("is over its service's, %d", most))
}

// duplicates refuses two routes that match the same calls: only one would ever
// be used, by its name alone, and the other's operator would see no effect.
func (c *checker) duplicates(routes []Route) {
	seen := make(map[string]kqname.Route, len(routes))
	for i, r := range routes {
		match := []string{string(r.Host), r.PathPrefix, r.Method}
		for _, name := range slices.Sorted(maps.Keys(r.Headers)) {
			match = append(match, strings.ToLower(name), r.Headers[name])
		}
		key := strings.Join(match, "\x00")
		other, ok := seen[key]
		c.when(ok, fmt.Sprintf("routes[%d]", i), fmt.Sprintf("matches the same calls as %.64q", string(other)))
		if !ok {
			seen[key] = r.Name
		}
	}
}

func cleanPrefix(p string) bool {
	if len(p) > maxPrefix || !strings.HasPrefix(p, "/") || strings.ContainsAny(p, "?#% ") {
		return false
	}
	cleaned := path.Clean(p)
	return (p == cleaned || p == cleaned+"/") && visible(p)
}

func cleanValue(v string) bool {
	return v != "" && len(v) <= maxHeaderValue && v == strings.TrimSpace(v) && visible(strings.ReplaceAll(v, " ", ""))
}

func visible(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' })
}

func isToken(name string) bool {
	if name == "" || len(name) > maxHeaderName {
		return false
	}
	return !strings.ContainsFunc(name, func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		return !letter && !strings.ContainsRune(tokenSigns, r)
	})
}
