// Package errs wraps and names every error of the project. Each layer has its
// own kinds and turns those from below into them.
package errs

import "github.com/rotisserie/eris"

// Kind names a class of errors of one layer: the type of the Err... values.
type Kind struct { //nolint:errname // a class of errors, not an error that happened
	name string
}

// Error is an error of a kind, with what caused it.
type Error struct {
	kind  *Kind
	text  string
	cause error
}

// Define makes a new kind; it is also a sentinel without a stack for hot paths.
func Define(name string) *Kind { return &Kind{name: name} }

// Error gives the name of the kind.
func (k *Kind) Error() string { return k.name }

// New makes an error of this kind.
func (k *Kind) New(text string) error { return &Error{kind: k, text: text} }

// Wrap turns an error from below into one of this kind; nil stays nil.
func (k *Kind) Wrap(cause error, text string) error {
	if cause == nil {
		return nil
	}
	return &Error{kind: k, text: text, cause: cause}
}

// Error gives kind, text and cause on one line.
func (e *Error) Error() string {
	line := e.kind.name + ": " + e.text
	if e.cause != nil {
		line += ": " + e.cause.Error()
	}
	return line
}

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.cause }

// Is tells whether the target is this error's kind.
func (e *Error) Is(target error) bool {
	kind, isKind := target.(*Kind)
	return isKind && kind == e.kind
}

// Is tells whether any error in the chain is of the kind.
func Is(chain error, kind *Kind) bool { return eris.Is(chain, kind) }
