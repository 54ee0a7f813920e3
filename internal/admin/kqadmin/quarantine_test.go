package kqadmin_test

import (
	"net/http"
	"net/url"
	"strings"
	"testing"
)

// Guards against requests that operators cannot see or clear, and against members who clear them for all teams.
func TestAdminsClearRequestsThatEndUpstreams(t *testing.T) {
	s := newTestServer(t)
	const name = "01020000000000000000000000000000"
	if status, body := s.request("mika", http.MethodGet, "/v1/suspect-requests", ""); status != http.StatusOK || len(body["requests"].([]any)) != 1 {
		t.Errorf("list ended as %d, %v", status, body)
	}
	if status, _ := s.request("mika", http.MethodDelete, "/v1/suspect-requests/"+name, ""); status != http.StatusForbidden || len(s.cleared) > 0 {
		t.Errorf("clearance by a member ended as %d with %d cleared", status, len(s.cleared))
	}
	if status, _ := s.request("ana", http.MethodDelete, "/v1/suspect-requests/none", ""); status != http.StatusBadRequest {
		t.Errorf("clearance of a malformed name ended as %d", status)
	}
	if status, body := s.request("ana", http.MethodDelete, "/v1/suspect-requests/"+name, ""); status != http.StatusOK || len(s.cleared) != 1 || s.cleared[0].String() != name {
		t.Errorf("clearance ended as %d, %v with %v cleared", status, body, s.cleared)
	}
	b := newBrowser(t, s, "ana")
	status, text := b.get("/requests")
	if status != http.StatusOK || !strings.Contains(text, name) || !strings.Contains(text, "node-a") {
		t.Errorf("page ended as %d: %s", status, text)
	}
	if status, _ := b.post("/requests/clear", changeForm(strings.ReplaceAll(text, "/requests/clear\"", "/change\""), url.Values{"request": {name}})); status != http.StatusOK || len(s.cleared) != 2 {
		t.Errorf("clearance by the page ended as %d with %d cleared", status, len(s.cleared))
	}
}
