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
	// NoToken means that the request has no token.
	NoToken Code = "no_token"
	// BadToken means that the token belongs to no operator.
	BadToken Code = "bad_token"
	// TooManyFailures means that the source is throttled after too many requests
	// without a valid token; RetryAfter is the remaining time.
	TooManyFailures Code = "too_many_failures"
	// Forbidden means that the operator's role or team does not permit the
	// change, or that it affects items of another team.
	Forbidden Code = "forbidden"
	// CSRFCheckFailed means that a form came from another site or without the CSRF token
	// of its session.
	CSRFCheckFailed Code = "no_csrf"
	// Malformed means that the body or a parameter cannot be parsed, is missing or has an
	// invalid value. A changed document that fails validation is Invalid.
	Malformed Code = "malformed"
	// TooLarge means that the body or the document exceeds its size limit.
	TooLarge Code = "too_large"
	// HeadersTooLarge means that the headers exceed the size limit.
	HeadersTooLarge Code = "headers_too_large"
	// TooSlow means that the request was not received within the read timeout.
	TooSlow Code = "too_slow"
	// ShuttingDown means that the node shut down before the whole request had
	// arrived; nothing was changed.
	ShuttingDown Code = "leaving"
	// NotFound means that no operation, item, request, version or node has this path
	// or name, or that the version's document or the node's report cannot be read.
	NotFound Code = "not_found"
	// BadMethod means that a path outside the API does not support the method. Under the
	// API's prefix, such a request gets NotFound.
	BadMethod Code = "bad_method"
	// Invalid means that the changed document fails validation; Errors lists why, or
	// Detail if there are none.
	Invalid Code = "invalid_document"
	// OverQuota means that the change would exceed a team's quota.
	OverQuota Code = "over_quota"
	// StaleVersion means that the base version is no longer in force; Difference usually
	// holds the changes since.
	StaleVersion Code = "stale_version"
	// RequestIDReused means that the request ID was already used with other content,
	// or that the committed documents to compare with cannot be read.
	RequestIDReused Code = "request_id_reused"
	// OutcomeUnknown means that the commit's outcome is not known yet; a retry must
	// use the same request ID.
	OutcomeUnknown Code = "unsettled"
	// PlatformDown means that the platform's key-value service is unavailable, limits
	// the rate or is contended, or that its data cannot be read.
	PlatformDown Code = "platform_unavailable"
	// Internal means a bug or an unexpected error in this program.
	Internal Code = "internal"
)

type (
	// Code identifies a kind of problem; it is stable across releases.
	Code string

	// Field is an error in one field of the request.
	Field struct {
		// Pointer is a JSON pointer: into the edited document or item, or, for a
		// change that is forbidden, the kind and name of the item.
		Pointer string `json:"pointer"`
		Detail  string `json:"detail"`
	}

	// Problem is the body of an error response. It implements error.
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
		// RetryAfter is sent in the Retry-After header.
		RetryAfter time.Duration `json:"-"`
	}
)

// Statuses maps each code to its HTTP status and title.
var Statuses = map[Code]struct {
	Status int
	Title  string
}{
	NoToken:         {http.StatusUnauthorized, "A token is needed"},
	BadToken:        {http.StatusUnauthorized, "The token is not known"},
	TooManyFailures: {http.StatusTooManyRequests, "Too many requests without a good token"},
	Forbidden:       {http.StatusForbidden, "Not allowed for this operator"},
	CSRFCheckFailed: {http.StatusForbidden, "The form is not of this session"},
	Malformed:       {http.StatusBadRequest, "The request cannot be read"},
	TooLarge:        {http.StatusRequestEntityTooLarge, "The body is too large"},
	HeadersTooLarge: {http.StatusRequestHeaderFieldsTooLarge, "The headers are too large"},
	TooSlow:         {http.StatusRequestTimeout, "The request came too slowly"},
	ShuttingDown:    {http.StatusServiceUnavailable, "The node is leaving"},
	NotFound:        {http.StatusNotFound, "There is no such thing"},
	BadMethod:       {http.StatusMethodNotAllowed, "The path does not take this method"},
	Invalid:         {http.StatusUnprocessableEntity, "The document has problems"},
	OverQuota:       {http.StatusUnprocessableEntity, "A team is over its quota"},
	StaleVersion:    {http.StatusConflict, "The version that was edited is no longer in force"},
	RequestIDReused: {http.StatusConflict, "The request id was used with other content"},
	OutcomeUnknown:  {http.StatusServiceUnavailable, "It is not known yet whether the change took effect"},
	PlatformDown:    {http.StatusServiceUnavailable, "The platform's service did not answer"},
	Internal:        {http.StatusInternalServerError, "A fault of this program"},
}

// New returns a problem with the code's type, title and status.
func New(code Code, detail string) *Problem {
	s := Statuses[code]
	return &Problem{Type: "urn:kumquatgw:problem:" + string(code), Title: s.Title, Status: s.Status, Code: code, Detail: detail}
}

// Error implements error.
func (p *Problem) Error() string { return string(p.Code) + ": " + p.Detail }
