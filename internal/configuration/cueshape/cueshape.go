// Package cueshape validates the values of a file against a CUE schema. Each finding is one line
// and begins with the field's name as an operator would write it.
package cueshape

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cuelang.org/go/cue"
	"cuelang.org/go/cue/cuecontext"
	"cuelang.org/go/cue/errors"
)

// Findings validates values against a definition of a schema and returns the findings together
// with those known already, sorted. It removes invalid fields from values. The schema is compiled
// at each call, so that a process which never checks a file does not pay for it. CUE does not report
// missing fields while other fields are invalid, so Findings removes the invalid fields and validates
// again, until there is no new finding.
func Findings(schema, definition string, values map[string]any, known []string) []string {
	context := cuecontext.New()
	compiled := context.CompileString(schema).LookupPath(cue.ParsePath(definition))
	findings := slices.Clone(known)
	reported := map[string]bool{}
	for _, finding := range findings {
		name, _, _ := strings.Cut(finding, ":")
		reported[name] = true
	}
	for repeat := true; repeat; {
		repeat = false
		validationErr := compiled.Unify(context.Encode(values)).Validate(cue.Concrete(true))
		found := map[string]bool{}
		for _, fieldErr := range errors.Errors(validationErr) {
			name := fieldName(fieldErr.Path())
			if reported[name] {
				continue
			}
			format, arguments := fieldErr.Msg()
			finding := name + ": " + shortMessage(fmt.Sprintf(format, arguments...))
			if !slices.Contains(findings, finding) {
				findings = append(findings, finding)
			}
			found[name] = true
			repeat = removeField(values, fieldErr.Path()) || repeat
		}
		for name := range found {
			reported[name] = true
		}
	}
	slices.Sort(findings)
	return findings
}

// shortMessage shortens a message of CUE to one line: for a wrong type CUE quotes the whole schema.
func shortMessage(message string) string {
	if _, types, mismatch := strings.Cut(message, "(mismatched types "); mismatch {
		return "wrong type (mismatched types " + types
	}
	return strings.ReplaceAll(message, "\n", " ")
}

// removeField removes the field at a path, or the whole list that contains it, and reports whether
// it was present.
func removeField(values any, path []string) bool {
	if len(path) > 0 && strings.HasPrefix(path[0], "#") {
		path = path[1:]
	}
	if len(path) == 0 {
		return false
	}
	key := strings.Trim(path[0], `"`)
	switch container := values.(type) {
	case map[string]any:
		inner, present := container[key]
		_, isList := inner.([]any)
		if present && (len(path) == 1 || isList) {
			delete(container, key)
		} else if present {
			return removeField(inner, path[1:])
		}
		return present
	case []map[string]any:
		if index, err := strconv.Atoi(key); err == nil && index < len(container) && len(path) > 1 {
			return removeField(container[index], path[1:])
		}
	}
	return false
}

// fieldName writes a path as an operator would, for example rules[2].kind.
func fieldName(path []string) string {
	text := ""
	for _, part := range path {
		part = strings.Trim(part, `"`)
		if _, err := strconv.Atoi(part); err == nil {
			text += "[" + part + "]"
			continue
		}
		if strings.HasPrefix(part, "#") {
			continue
		}
		if text != "" {
			text += "."
		}
		text += part
	}
	return text
}
