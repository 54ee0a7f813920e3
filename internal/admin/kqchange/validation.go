package kqchange

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqproblem"
	"github.com/kumquatgw/kumquatgw/pkg/kqdocument"
)

// pathPattern splits a validation path such as "routes[3].service" into kind,
// index and field.
var pathPattern = regexp.MustCompile(`^([a-z_]+)\[(\d+)\]\.?(.*)$`)

// pointerReplacer turns the field's part of a path, such as "key_digests[0]", into one of a JSON
// pointer.
var pointerReplacer = strings.NewReplacer(".", "/", "[", "/", "]", "")

// validationProblem converts validation errors into a problem with JSON pointers:
// below /item if the error is in the edited item, else below /document, which means
// the edited document even if the request body has only an item.
func validationProblem(e Edit, d kqdocument.Document, problems []kqdocument.Problem) *kqproblem.Problem {
	code := kqproblem.OverQuota
	fields := make([]kqproblem.Field, 0, len(problems))
	for _, p := range problems {
		if !strings.HasSuffix(p.Path, ".max_routes") && !strings.HasSuffix(p.Path, ".max_rollouts") {
			code = kqproblem.Invalid
		}
		fields = append(fields, fieldProblem(e, d, p))
	}
	problem := kqproblem.New(code, fmt.Sprintf("%d faults; the first: %s %s", len(problems), fields[0].Pointer, fields[0].Detail))
	problem.Errors = fields
	return problem
}

func fieldProblem(e Edit, d kqdocument.Document, p kqdocument.Problem) kqproblem.Field {
	parts := pathPattern.FindStringSubmatch(p.Path)
	if parts == nil {
		return kqproblem.Field{Pointer: "/document/" + p.Path, Detail: p.Message}
	}
	kind, field := parts[1], pointerReplacer.Replace(parts[3])
	index, err := strconv.Atoi(parts[2])
	k, known := Kinds[kind]
	if err != nil || !known {
		return kqproblem.Field{Pointer: "/document/" + kind, Detail: p.Message}
	}
	name := k.NameAt(d, index)
	if e.Kind == kind && e.Name == name {
		return kqproblem.Field{Pointer: "/item/" + field, Detail: p.Message}
	}
	detail := p.Message
	if e.Kind != "" {
		detail = fmt.Sprintf("%s.%s: %s", kind, name, p.Message)
	}
	return kqproblem.Field{Pointer: fmt.Sprintf("/document/%s/%d/%s", kind, index, field), Detail: detail}
}
