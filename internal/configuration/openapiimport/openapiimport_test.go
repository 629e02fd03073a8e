package openapiimport

import (
	"strings"
	"testing"
)

const document = `openapi: 3.0.3
info: {title: t, version: "1"}
servers: [{url: "https://api.example/v1"}]
paths:
  /orders/{id}:
    get: {responses: {"200": {description: ok}}}
  /answers:
    post:
      responses:
        "200":
          description: ok
          content: {text/event-stream: {schema: {type: string}}}
  /payments:
    get: {responses: {"200": {description: ok}}}
    post: {responses: {"201": {description: made}}}
`

func TestImport(t *testing.T) {
	routes, findings, err := Import([]byte(document), Options{Backend: "s", CutoffMs: 1000})
	if err != nil || len(findings) != 0 || len(routes) != 3 {
		t.Fatalf("error %v, findings %q, routes %+v; want no error, no findings and 3 routes", err, findings, routes)
	}
	want := map[string]string{"/v1/answers/": "streaming", "/v1/orders/": "idempotent", "/v1/payments/": "effectful"}
	for _, route := range routes {
		if want[route.Prefix] != route.KindName || route.Host != "api.example" || route.Backend != "s" {
			t.Errorf("unexpected route %+v", route)
		}
	}
}

func TestUnmappedPathsReported(t *testing.T) {
	text := strings.Replace(document, "/orders/{id}", "/{anything}", 1)
	text = strings.Replace(text, `"https://api.example/v1"`, `"/"`, 1)
	_, findings, err := Import([]byte(text), Options{})
	if err != nil || len(findings) != 2 || !strings.Contains(findings[0], "--host") || !strings.Contains(findings[1], "/{anything}") {
		t.Fatalf("error %v, findings %q; want no error and findings for the host and for /{anything}", err, findings)
	}
	if _, _, err = Import([]byte("nothing: here"), Options{}); err == nil {
		t.Fatal("a file that is not an OpenAPI document was accepted")
	}
}
