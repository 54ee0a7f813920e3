package kqdocument

import (
	"fmt"
	"maps"
	"net/http"
	"path"
	"slices"
	"strings"

	"github.com/kumquatgw/kumquatgw/pkg/kqname"
	"github.com/kumquatgw/kumquatgw/pkg/kqpath"
)

const (
	// maxPrefix, maxAdoptedPrefix, maxHeaderName and maxHeaderValue are lengths in bytes. No
	// request whose headers a node accepts has a longer path than maxAdoptedPrefix.
	maxPrefix        = 512
	maxAdoptedPrefix = 64 << 10
	maxHeaders       = 8
	maxHeaderName    = 64
	maxHeaderValue   = 256
	// reservedHeaderPrefix is the prefix of kumquatgw's own headers.
	reservedHeaderPrefix = "kq-"
	maxWeight            = 1000000
	maxAttempts          = 16

	// tokenSymbols are allowed in a header's name besides letters and digits
	// (RFC 9110, section 5.6.2).
	tokenSymbols = "!#$%&'*+-.^_`|~"
)

var (
	// methods are the methods that a route may match, where "" matches every method;
	// CONNECT and TRACE are not among them.
	methods = []string{
		"", http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}
	classes = []Class{"", ClassCritical, ClassNormal, ClassBackground}
)

func (c *checker) checkRoute(at string, r Route) {
	c.reportIf(!isName(c, r.Host), at+".host", "is not a lower-case host name")
	c.checkPathPrefix(at+".path_prefix", r.PathPrefix)
	c.reportIf(!slices.Contains(methods, r.Method), at+".method", "is not an HTTP method in capitals")
	c.reportIf(!slices.Contains(classes, r.Class), at+".class", "must be critical, normal or background")
	c.reportIf(len(r.Headers) > maxHeaders, at+".headers", fmt.Sprintf("has more than %d headers", maxHeaders))
	c.checkTimeout(at, r.TimeoutMS)
	seen := make(map[string]bool)
	for _, name := range slices.Sorted(maps.Keys(r.Headers)) {
		field := fmt.Sprintf("%s.headers[%.64q]", at, name)
		folded := strings.ToLower(name)
		c.reportIf(!isToken(name), field, "is not a header's name")
		c.reportIf(strings.HasPrefix(folded, reservedHeaderPrefix), field, "is a header of the system's own, which callers cannot set")
		c.reportIf(seen[folded], field, "stands twice, in two cases")
		c.reportIf(!isValidHeaderValue(r.Headers[name]), field, fmt.Sprintf("must have a value of 1 to %d visible characters", maxHeaderValue))
		seen[folded] = true
	}
}

// checkPartsAndLimits refuses a route that has both a service and parts, a service in
// two parts, parts without any weight, contradictory idempotency, or a weight,
// max_attempts or target_ms out of range.
func (c *checker) checkPartsAndLimits(at string, r Route) {
	total := 0.0
	seen := make(map[kqname.Service]bool)
	for i, p := range r.Parts {
		field := fmt.Sprintf("%s.parts[%d]", at, i)
		// Negated so that NaN, for which every comparison is false, is refused too.
		c.reportIf(!(p.Weight >= 0 && p.Weight <= maxWeight), field+".weight", fmt.Sprintf("must be from 0 to %d", maxWeight))
		c.reportIf(seen[p.Service], field+".service", "stands twice")
		seen[p.Service] = true
		total += p.Weight
	}
	c.reportIf(len(r.Parts) > 0 && r.Service != "", at+".service", "stands beside parts")
	c.reportIf(len(r.Parts) > 0 && !(total > 0), at+".parts", "have no weight at all")
	c.reportIf(r.Idempotent && r.NotIdempotent, at+".not_idempotent", "stands beside idempotent")
	c.reportIf(r.MaxAttempts < 0 || r.MaxAttempts > maxAttempts, at+".max_attempts", fmt.Sprintf("must be from 0 to %d", maxAttempts))
	c.checkMilliseconds(at+".target_ms", r.TargetMS)
}

// checkTimeoutOverride refuses a route whose timeout exceeds that of its service.
func (c *checker) checkTimeoutOverride(at string, r Route, s Service) {
	limit := s.TimeoutMS
	if limit == 0 {
		limit = defaultTimeoutMS
	}
	c.reportIf(s.Name != "" && r.TimeoutMS > limit, at+".timeout_ms", fmt.Sprintf("is over its service's, %d", limit))
}

// checkDuplicates refuses two routes that match the same calls: only the one with the
// alphabetically first name would ever be used, and the other would have no effect.
func (c *checker) checkDuplicates(routes []Route) {
	seen := make(map[string]kqname.Route, len(routes))
	for i, r := range routes {
		match := []string{string(r.Host), c.comparedPrefix(r.PathPrefix), r.Method}
		for _, name := range slices.Sorted(maps.Keys(r.Headers)) {
			match = append(match, strings.ToLower(name), r.Headers[name])
		}
		key := strings.Join(match, "\x00")
		other, ok := seen[key]
		c.reportIf(ok, fmt.Sprintf("routes[%d]", i), fmt.Sprintf("matches the same calls as %.64q", string(other)))
		if !ok {
			seen[key] = r.Name
		}
	}
}

// comparedPrefix returns the form in which the prefixes of two routes are compared. In an
// adopted document, prefixes that are written in two ways may stand side by side.
func (c *checker) comparedPrefix(prefix string) string {
	if c.adopted {
		return prefix
	}
	return kqpath.Normalize(prefix)
}

// checkPathPrefix refuses a prefix that begins no path. Dot segments, doubled slashes and
// characters that clients escape are refused as mistakes: few requests have such a path.
func (c *checker) checkPathPrefix(at, prefix string) {
	if c.adopted {
		c.reportIf(len(prefix) > maxAdoptedPrefix || !strings.HasPrefix(prefix, "/"), at, fmt.Sprintf("must begin with / and have at most %d bytes", maxAdoptedPrefix))
		return
	}
	normal := kqpath.Normalize(prefix)
	cleaned := path.Clean(normal)
	isClean := normal == cleaned || normal == cleaned+"/"
	isPath := strings.HasPrefix(prefix, "/") && !strings.ContainsAny(prefix, "?#") && kqpath.IsWellFormed(prefix)
	c.reportIf(len(prefix) > maxPrefix || !isPath || !isClean, at,
		fmt.Sprintf("must be a path of at most %d bytes that begins with /, without dot segments, doubled slashes or incomplete escapes", maxPrefix))
}

func isValidHeaderValue(v string) bool {
	return v != "" && len(v) <= maxHeaderValue && v == strings.TrimSpace(v) && isVisibleASCII(strings.ReplaceAll(v, " ", ""))
}

func isVisibleASCII(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r > '~' })
}

func isToken(name string) bool {
	if name == "" || len(name) > maxHeaderName {
		return false
	}
	return !strings.ContainsFunc(name, func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		return !letter && !strings.ContainsRune(tokenSymbols, r)
	})
}
