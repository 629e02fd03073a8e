// Package cueshape holds the values of a file against a CUE schema and tells every finding in
// one line, by the field's name as an operator would write it.
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

// Findings holds values against a definition of a schema and adds what is wrong to the findings
// known already, in order. The schema is compiled at each call: nobody pays for it who never
// checks a file. CUE keeps silent on what is missing while something else is wrong, so what is
// wrong is taken out of the values and it is asked again, until every finding is told.
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

// plain shortens what CUE says: of a wrong type it quotes the whole schema.
func shortMessage(message string) string {
	if _, types, cut := strings.Cut(message, "(mismatched types "); cut {
		return "wrong type (mismatched types " + types
	}
	return strings.ReplaceAll(message, "\n", " ")
}

// takeOut removes the field at a path; it tells whether there was one.
func removeField(values any, path []string) bool {
	if len(path) > 0 && strings.HasPrefix(path[0], "#") {
		path = path[1:]
	}
	if len(path) == 0 {
		return false
	}
	key := strings.Trim(path[0], `"`)
	switch holder := values.(type) {
	case map[string]any:
		inner, present := holder[key]
		_, isList := inner.([]any)
		if present && (len(path) == 1 || isList) {
			delete(holder, key)
		} else if present {
			return removeField(inner, path[1:])
		}
		return present
	case []map[string]any:
		if index, err := strconv.Atoi(key); err == nil && index < len(holder) && len(path) > 1 {
			return removeField(holder[index], path[1:])
		}
	}
	return false
}

// field writes a path as an operator would: rules[2].kind.
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
