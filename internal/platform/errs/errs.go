// Package errs defines the error types of the project. Each layer has its own error kinds and wraps
// the errors of lower layers in them.
package errs

import "github.com/rotisserie/eris"

// Kind is a class of errors of one layer: the type of the Err... values.
type Kind struct { //nolint:errname // a class of errors, not a single error
	name string
}

// Error is an error of a kind, with its cause if there is one.
type Error struct {
	kind  *Kind
	text  string
	cause error
}

// Define returns a new kind. A kind can also be used as a sentinel error, without a stack trace, in
// hot paths.
func Define(name string) *Kind { return &Kind{name: name} }

// Error returns the name of the kind.
func (k *Kind) Error() string { return k.name }

// New returns an error of this kind.
func (k *Kind) New(text string) error { return &Error{kind: k, text: text} }

// Wrap returns an error of this kind with a cause. It returns nil if the cause is nil.
func (k *Kind) Wrap(cause error, text string) error {
	if cause == nil {
		return nil
	}
	return &Error{kind: k, text: text, cause: cause}
}

// Error returns the kind, text and cause on one line.
func (e *Error) Error() string {
	line := e.kind.name + ": " + e.text
	if e.cause != nil {
		line += ": " + e.cause.Error()
	}
	return line
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Is reports whether the target is this error's kind.
func (e *Error) Is(target error) bool {
	kind, isKind := target.(*Kind)
	return isKind && kind == e.kind
}

// Is reports whether any error in the chain is of the kind.
func Is(chain error, kind *Kind) bool { return eris.Is(chain, kind) }
