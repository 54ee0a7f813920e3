package kqproblem

import (
	"net/http"
	"time"

	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

// MediaType is the content type of a problem.
const MediaType = "application/problem+json"

const (
	// NoToken tells that no token came with the request.
	NoToken Code = "no_token"
	// BadToken tells that no operator has the token.
	BadToken Code = "bad_token"
	// TooManyFailures tells that too many requests of this source had no good
	// token; RetryAfter says when to come back.
	TooManyFailures Code = "too_many_failures"
	// Forbidden tells that the operator's role or team does not allow the
	// change, or that it touches what another team owns.
	Forbidden Code = "forbidden"
	// NoCSRF tells that a form came without the mark of this session.
	NoCSRF Code = "no_csrf"
	// Malformed tells that the body or a parameter cannot be read.
	Malformed Code = "malformed"
	// TooLarge tells that the body is over the bound.
	TooLarge Code = "too_large"
	// HeadersTooLarge tells that the headers are over the bound.
	HeadersTooLarge Code = "headers_too_large"
	// TooSlow tells that the request did not arrive whole in time.
	TooSlow Code = "too_slow"
	// Leaving tells that the node ended before the request had arrived whole: nothing
	// was changed.
	Leaving Code = "leaving"
	// NotFound tells that nothing has this path or name.
	NotFound Code = "not_found"
	// BadMethod tells that the path does not take this method.
	BadMethod Code = "bad_method"
	// Invalid tells that the document would have problems; Errors name them.
	Invalid Code = "invalid_document"
	// Quota tells that a team would be over its quota.
	Quota Code = "over_quota"
	// Stale tells that the edited version is no longer in force; Difference is
	// what changed since.
	Stale Code = "stale_version"
	// Reused tells that the request id was used with other content.
	Reused Code = "request_id_reused"
	// Unsettled tells that the commit's end is not known yet; ask again by the
	// same request id.
	Unsettled Code = "unsettled"
	// PlatformDown tells that the platform's service did not answer.
	PlatformDown Code = "platform_unavailable"
	// Internal tells of a fault of this program.
	Internal Code = "internal"
)

type (
	// Code names a kind of refusal; it does not change between versions.
	Code string

	// Field is one fault, at one field of what was sent.
	Field struct {
		// Pointer is a JSON pointer into the request's document or item.
		Pointer string `json:"pointer"`
		Detail  string `json:"detail"`
	}

	// Problem is a refusal. It is an error.
	Problem struct {
		Type       string               `json:"type"`
		Title      string               `json:"title"`
		Status     int                  `json:"status"`
		Code       Code                 `json:"code"`
		Detail     string               `json:"detail,omitempty"`
		RequestID  string               `json:"request_id,omitempty"`
		Version    kqname.ConfigVersion `json:"version,omitempty"`
		Errors     []Field              `json:"errors,omitempty"`
		Difference []kqdocument.Change  `json:"difference,omitempty"`
		// RetryAfter goes into the header of that name.
		RetryAfter time.Duration `json:"-"`
	}
)

// Statuses gives the HTTP status and the title of each code.
var Statuses = map[Code]struct {
	Status int
	Title  string
}{
	NoToken:         {http.StatusUnauthorized, "A token is needed"},
	BadToken:        {http.StatusUnauthorized, "The token is not known"},
	TooManyFailures: {http.StatusTooManyRequests, "Too many requests without a good token"},
	Forbidden:       {http.StatusForbidden, "Not allowed for this operator"},
	NoCSRF:          {http.StatusForbidden, "The form is not of this session"},
	Malformed:       {http.StatusBadRequest, "The request cannot be read"},
	TooLarge:        {http.StatusRequestEntityTooLarge, "The body is too large"},
	HeadersTooLarge: {http.StatusRequestHeaderFieldsTooLarge, "The headers are too large"},
	TooSlow:         {http.StatusRequestTimeout, "The request came too slowly"},
	Leaving:         {http.StatusServiceUnavailable, "The node is leaving"},
	NotFound:        {http.StatusNotFound, "There is no such thing"},
	BadMethod:       {http.StatusMethodNotAllowed, "The path does not take this method"},
	Invalid:         {http.StatusUnprocessableEntity, "The document has problems"},
	Quota:           {http.StatusUnprocessableEntity, "A team is over its quota"},
	Stale:           {http.StatusConflict, "The version that was edited is no longer in force"},
	Reused:          {http.StatusConflict, "The request id was used with other content"},
	Unsettled:       {http.StatusServiceUnavailable, "It is not known yet whether the change took effect"},
	PlatformDown:    {http.StatusServiceUnavailable, "The platform's service did not answer"},
	Internal:        {http.StatusInternalServerError, "A fault of this program"},
}

// New returns a problem of a code.
func New(code Code, detail string) *Problem {
	s := Statuses[code]
	return &Problem{Type: "urn:kumquatgw:problem:" + string(code), Title: s.Title, Status: s.Status, Code: code, Detail: detail}
}

// Error joins the code and the detail.
func (p *Problem) Error() string { return string(p.Code) + ": " + p.Detail }
