// Package openapiimport converts the paths of an OpenAPI document to routes of a configuration.
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

// ErrMalformed means that a file is not an OpenAPI document with paths.
var ErrMalformed = errs.Define("openapi")

// Options are the route settings that the document does not contain.
type Options struct {
	// Host is the host of all routes; if it is empty, the host of the first server is used.
	Host     string
	Backend  string
	CutoffMs int
}

// Import returns one route for each path prefix of a document, and a finding for each part that
// can't be mapped.
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
			findings = append(findings, "path "+path+" has no fixed prefix other than /")
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
		byPrefix[prefix] = &routeconfig.Route{Name: routeName(prefix), Host: host, Prefix: prefix, KindName: kind, CutoffMs: float64(options.CutoffMs), Backend: options.Backend, MaxAttempts: maxAttempts(kind)}
		prefixes = append(prefixes, prefix)
	}
	for _, prefix := range prefixes {
		routes = append(routes, *byPrefix[prefix])
	}
	return routes, findings, nil
}

// hostAndBase returns the host, from the option or the first server, the base path of that server,
// and a finding if one of them is not known.
func hostAndBase(document *openapi3.T, host string) (string, string, string) {
	base := ""
	if len(document.Servers) > 0 {
		if parsed, err := url.Parse(document.Servers[0].URL); err == nil && !strings.Contains(document.Servers[0].URL, "{") {
			base = strings.TrimSuffix(parsed.Path, "/")
			if host == "" {
				host = parsed.Hostname()
			}
		} else {
			return host, "", "server " + document.Servers[0].URL + " has variables or is not a valid URL"
		}
	}
	if host == "" {
		return host, base, "no host: neither --host nor the first server of the document gives one"
	}
	return host, base, ""
}

// fixedPrefix returns the leading segments of a path that contain no parameter, with a slash at the
// end, and whether there are any.
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

// kindOf returns the kind of a path's operations, or "" if the path has none. The kind is idempotent
// only if all operations are. For a path with both effectful and streaming operations it is one of
// these two, depending on the iteration order of a map.
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

// isStreaming reports whether an operation responds with an event stream.
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

// maxAttempts returns the maximum number of attempts for a request of a kind.
func maxAttempts(kind string) int {
	if kind == "idempotent" {
		return 2
	}
	// A request that must not be executed twice gets one attempt unless the operator configures more.
	return 1
}

// routeName derives the name of a route from its prefix.
func routeName(prefix string) string {
	return "r-" + strings.ReplaceAll(strings.Trim(prefix, "/"), "/", "-")
}
