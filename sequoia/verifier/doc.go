// Package verifier tells broken HTTP/1.1 responses from sound ones where net/http takes both for sound.
package verifier
