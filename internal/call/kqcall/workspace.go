package kqcall

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
	"github.com/kumquatgw/kumquatgw/pkg/kqname"
)

const (
	// challenge is the WWW-Authenticate header of calls without a valid key (RFC 6750).
	challenge = `Bearer realm="kumquatgw"`
	// bearerScheme is compared without regard to case (RFC 9110, section 11.1).
	bearerScheme = "bearer"
	// maxKeyBytes is the length of the longest API key that is read.
	maxKeyBytes = 512
)

// ReadKey returns the API key that a caller's headers hold, by the dialect or, if it is nil,
// by the Authorization header with the scheme Bearer. It is nil if there is no key, more
// than one, or one that is too long. The key must not be kept, logged or sent on.
func ReadKey(d Dialect, h *fasthttp.RequestHeader) []byte {
	if d != nil {
		return d.Key(h)
	}
	return BearerKey(h)
}

// StripKey removes the API key and what the caller says of its workspace.
func StripKey(d Dialect, h *fasthttp.RequestHeader) {
	if d != nil {
		d.StripKey(h)
		return
	}
	h.Del(fasthttp.HeaderAuthorization)
	h.Del(HeaderWorkspace)
}

// BearerKey returns the key of the only Authorization header, nil if there is none, if its
// scheme is not Bearer, or if it is longer than 512 bytes.
func BearerKey(h *fasthttp.RequestHeader) []byte {
	if len(h.Peek(fasthttp.HeaderAuthorization)) == 0 {
		return nil
	}
	values := h.PeekAll(fasthttp.HeaderAuthorization)
	if len(values) != 1 {
		return nil
	}
	scheme, key, found := bytes.Cut(bytes.TrimSpace(values[0]), []byte{' '})
	key = bytes.TrimSpace(key)
	if !found || !bytes.EqualFold(scheme, []byte(bearerScheme)) || len(key) == 0 || len(key) > maxKeyBytes {
		return nil
	}
	return key
}

// EffectiveClass returns the class that orders the call: that of its workspace, or that of its
// route if it has no workspace or the workspace has no class.
func (c *Call) EffectiveClass() kqdocument.Class {
	if c.Workspace != "" && c.WorkspaceClass != "" {
		return c.WorkspaceClass
	}
	return c.Class
}

// writeWorkspace puts the workspace fields into the request for a gate, if there is a
// workspace.
func (c *Call) writeWorkspace() {
	h := &c.Request.Header
	if c.Workspace == "" {
		h.Del(headerWorkspace)
		return
	}
	var space [128]byte
	b := append(append(space[:0], c.Workspace...), separator)
	b = append(append(b, c.WorkspaceClass...), separator)
	b = append(strconv.AppendUint(b, c.KeyID, 36), separator)
	h.SetBytesV(headerWorkspace, strconv.AppendUint(b, uint64(c.ConfigVersion), 10))
}

// readWorkspace sets the fields that writeWorkspace put into the request. They stay empty if
// it put none or if they cannot be parsed.
func (c *Call) readWorkspace() {
	value := c.Request.Header.Peek(headerWorkspace)
	if len(value) == 0 {
		return
	}
	fields := strings.Split(string(value), string(separator))
	if len(fields) != 4 {
		return
	}
	id, idErr := strconv.ParseUint(fields[2], 36, 64)
	version, versionErr := strconv.ParseUint(fields[3], 10, 64)
	if idErr != nil || versionErr != nil {
		return
	}
	c.Workspace, c.WorkspaceClass = kqname.Workspace(fields[0]), kqdocument.Class(fields[1])
	c.KeyID, c.ConfigVersion = id, kqname.ConfigVersion(version)
}
