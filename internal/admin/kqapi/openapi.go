package kqapi

import (
	"reflect"
	"regexp"
	"slices"
	"strconv"

	"github.com/invopop/jsonschema"

	"github.com/kumquatgw/kumquatgw/internal/admin/kqproblem"
)

const (
	openapiVersion = "3.1.0"
	apiVersion     = "1"
)

type object = map[string]any

var pathParameter = regexp.MustCompile(`\{(\w+)\}`)

// openAPI returns the OpenAPI document of all operations.
func (a *API) openAPI() object {
	paths := object{}
	for _, o := range a.operations {
		path := Prefix + o.path
		methods, ok := paths[path].(object)
		if !ok {
			methods = object{}
			paths[path] = methods
		}
		methods[map[string]string{"GET": "get", "PUT": "put", "DELETE": "delete"}[o.method]] = o.openAPI()
	}
	return object{
		"openapi":  openapiVersion,
		"info":     object{"title": "kumquatgw administration API", "version": apiVersion},
		"security": []object{{"token": []string{}}},
		"paths":    paths,
		"components": object{
			"securitySchemes": object{"token": object{"type": "http", "scheme": "bearer"}},
			"schemas":         object{"Problem": problemSchema()},
			"responses":       problemResponses(),
		},
	}
}

// openAPI returns the OpenAPI description of one operation.
func (o operation) openAPI() object {
	responses := object{"200": object{"description": "As asked.", "content": content("application/json", schema(o.response))}}
	for _, s := range problemStatuses() {
		responses[strconv.Itoa(s)] = object{"$ref": "#/components/responses/" + responseName(s)}
	}
	described := object{"operationId": o.id, "summary": o.summary, "responses": responses}
	var parameters []object
	for _, p := range pathParameter.FindAllStringSubmatch(o.path, -1) {
		parameters = append(parameters, object{"name": p[1], "in": "path", "required": true, "schema": object{"type": "string"}})
	}
	for _, name := range o.query {
		parameters = append(parameters, object{"name": name, "in": "query", "schema": object{"type": "string"}})
	}
	if len(parameters) > 0 {
		described["parameters"] = parameters
	}
	if o.body != nil {
		described["requestBody"] = object{"required": true, "content": content("application/json", schema(o.body))}
	}
	return described
}

func schema(value any) *jsonschema.Schema {
	r := jsonschema.Reflector{Anonymous: true, DoNotReference: true, ExpandedStruct: true}
	s := r.ReflectFromType(reflect.TypeOf(value))
	s.Version = ""
	return s
}

func content(media string, schema any) object { return object{media: object{"schema": schema}} }

func problemSchema() any {
	s := schema(kqproblem.Problem{})
	if code, ok := s.Properties.Get("code"); ok {
		for _, c := range problemCodes() {
			code.Enum = append(code.Enum, c)
		}
	}
	return s
}

func problemResponses() object {
	responses := object{}
	for _, s := range problemStatuses() {
		responses[responseName(s)] = object{
			"description": "Refused.",
			"content":     content(kqproblem.MediaType, object{"$ref": "#/components/schemas/Problem"}),
		}
	}
	return responses
}

func responseName(status int) string { return "Problem" + strconv.Itoa(status) }

func problemStatuses() []int {
	var list []int
	for _, s := range kqproblem.Statuses {
		if !slices.Contains(list, s.Status) {
			list = append(list, s.Status)
		}
	}
	slices.Sort(list)
	return list
}

func problemCodes() []string {
	list := make([]string, 0, len(kqproblem.Statuses))
	for c := range kqproblem.Statuses {
		list = append(list, string(c))
	}
	slices.Sort(list)
	return list
}
