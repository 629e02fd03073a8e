// Package openapiimport makes routes of a configuration from an OpenAPI file.
package openapiimport

import (
	"fmt"
	"net/url"
	"sort"
	"strings"

	"github.com/getkin/kin-openapi/openapi3"

	"lemonarch/internal/configuration/routeconfig"
	"lemonarch/internal/platform/errs"
)

// ErrMalformed is the error of a file that is no OpenAPI document.
var ErrMalformed = errs.Define("openapi")

// Options are what the document does not say.
type Options struct {
	Host     string
	Backend  string
	CutoffMs int
}

// Import reads a document; what can't be mapped is named.
func Import(text []byte, options Options) (routes []routeconfig.Route, findings []string, err error) {
	document, err := openapi3.NewLoader().LoadFromData(text)
	if err != nil {
		return nil, nil, ErrMalformed.Wrap(err, "can't be read")
	}
	if document.Paths == nil || document.Paths.Len() == 0 {
		return nil, nil, ErrMalformed.New("no paths")
	}
	host, base, finding := hostAndBase(document, options.Host)
	if finding != "" {
		findings = append(findings, finding)
	}
	byPrefix := map[string]*routeconfig.Route{}
	var prefixes []string
	paths := document.Paths.Map()
	var names []string
	for path := range paths {
		names = append(names, path)
	}
	sort.Strings(names)
	for _, path := range names {
		prefix, mapped := fixedPrefix(base + path)
		if !mapped {
			findings = append(findings, "path "+path+" has no fixed beginning of its own")
			continue
		}
		kind := kindOf(paths[path])
		if kind == "" {
			findings = append(findings, "path "+path+" has no operation")
			continue
		}
		if existing := byPrefix[prefix]; existing != nil {
			if existing.KindName != kind {
				findings = append(findings, fmt.Sprintf("path %s is %s, but its prefix %s is %s already", path, kind, prefix, existing.KindName))
			}
			continue
		}
		byPrefix[prefix] = &routeconfig.Route{Name: routeName(prefix), Host: host, Prefix: prefix, KindName: kind, CutoffMs: float64(options.CutoffMs), Backend: options.Backend, Tries: triesOf(kind)}
		prefixes = append(prefixes, prefix)
	}
	for _, prefix := range prefixes {
		routes = append(routes, *byPrefix[prefix])
	}
	return routes, findings, nil
}

// place gives the host and the base path, from the option or the one server.
func hostAndBase(document *openapi3.T, host string) (string, string, string) {
	base := ""
	if len(document.Servers) > 0 {
		if parsed, err := url.Parse(document.Servers[0].URL); err == nil && !strings.Contains(document.Servers[0].URL, "{") {
			base = strings.TrimSuffix(parsed.Path, "/")
			if host == "" {
				host = parsed.Hostname()
			}
		} else {
			return host, "", "server " + document.Servers[0].URL + " has variables or is no address"
		}
	}
	if host == "" {
		return host, base, "no host: the document names no server, so --host is needed"
	}
	return host, base, ""
}

// prefixOf gives the fixed folders that a path begins with.
func fixedPrefix(path string) (string, bool) {
	fixed := path
	if at := strings.IndexByte(path, '{'); at >= 0 {
		fixed = path[:at]
	} else {
		fixed += "/"
	}
	fixed = fixed[:strings.LastIndexByte(fixed, '/')+1]
	for strings.HasSuffix(fixed, "//") {
		fixed = fixed[:len(fixed)-1]
	}
	return fixed, fixed != "/" && fixed != ""
}

// kindOf is the most careful kind that fits all operations of a path.
func kindOf(item *openapi3.PathItem) string {
	kind := ""
	for method, operation := range item.Operations() {
		operationKind := "idempotent"
		if method == "POST" || method == "PATCH" {
			operationKind = "effectful"
		}
		if isStreaming(operation) {
			operationKind = "streaming"
		}
		if kind == "" || operationKind != "idempotent" {
			kind = operationKind
		}
	}
	return kind
}

func isStreaming(operation *openapi3.Operation) bool {
	if operation.Responses == nil {
		return false
	}
	for _, response := range operation.Responses.Map() {
		if response.Value != nil && response.Value.Content.Get("text/event-stream") != nil {
			return true
		}
	}
	return false
}

func triesOf(kind string) int {
	if kind == "idempotent" {
		return 2
	}
	// What must not run twice gets one try unless the operator says more.
	return 1
}

func routeName(prefix string) string {
	return "r-" + strings.ReplaceAll(strings.Trim(prefix, "/"), "/", "-")
}
