// Package strictjson decodes JSON whose strings can be stored and compared. Package encoding/json
// replaces bytes that are not UTF-8, and escapes of half a UTF-16 pair, by U+FFFD, so that two
// names could become one.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"unicode/utf16"
	"unicode/utf8"
)

// TextError reports a part of a document that stands for no text. Nothing was decoded.
type TextError struct {
	// Offset is the position of the part in bytes.
	Offset int
	// Reason says what is wrong with it.
	Reason string
}

// Error implements error.
func (e *TextError) Error() string {
	return fmt.Sprintf("strictjson: byte %d: %s", e.Offset, e.Reason)
}

// Unmarshal decodes a document into v. The error is a *TextError, or one of package
// encoding/json.
func Unmarshal(data []byte, v any) error {
	if err := Check(data); err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// Check returns a *TextError if the document is not UTF-8 or escapes half of a UTF-16 pair.
func Check(data []byte) error {
	if !utf8.Valid(data) {
		return &TextError{Offset: firstInvalid(data), Reason: "is not UTF-8"}
	}
	for i := 0; i < len(data); {
		next := bytes.IndexByte(data[i:], '\\')
		if next < 0 {
			return nil
		}
		i += next
		unit, ok := escapedUnit(data[i:])
		switch {
		case !ok:
			i += len(`\n`)
		case !utf16.IsSurrogate(unit):
			i += escapeBytes
		default:
			second, _ := escapedUnit(data[i+escapeBytes:])
			if utf16.DecodeRune(unit, second) == utf8.RuneError {
				return &TextError{Offset: i, Reason: "escapes half of a UTF-16 pair"}
			}
			i += 2 * escapeBytes
		}
	}
	return nil
}

// escapeBytes is the length of an escaped UTF-16 unit.
const escapeBytes = len(`\u0000`)

// escapedUnit returns the UTF-16 unit that data begins with as an escape, or false.
func escapedUnit(data []byte) (rune, bool) {
	if len(data) < escapeBytes || data[0] != '\\' || data[1] != 'u' {
		return 0, false
	}
	unit, err := strconv.ParseUint(string(data[2:escapeBytes]), 16, 16)
	return rune(unit), err == nil
}

func firstInvalid(data []byte) int {
	offset := 0
	for offset < len(data) {
		r, size := utf8.DecodeRune(data[offset:])
		if r == utf8.RuneError && size <= 1 {
			return offset
		}
		offset += size
	}
	return offset
}
