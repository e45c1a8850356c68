// Package backendsim implements a simulated backend server for tests and measurements. It
// announces itself to the entries, answers each call with a value computed from the
// request, so that a caller can verify the answer, and injects faults on demand.
package backendsim

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"
)

// ErrWrongAnswer is returned by CheckAnswer for an answer that is truncated or belongs to
// another request.
var ErrWrongAnswer = errors.New("backendsim: answer does not match the request")

// Answer returns the expected answer to a request: the SHA-256 digest, in hexadecimal, of
// the request identifier, a zero byte and the body, followed by a line feed and the body.
func Answer(id string, body []byte) []byte {
	digest := sha256.New()
	digest.Write([]byte(id))
	digest.Write([]byte{0})
	digest.Write(body)
	out := hex.AppendEncode(nil, digest.Sum(nil))
	out = append(out, '\n')
	return append(out, body...)
}

// CheckAnswer returns ErrWrongAnswer unless answer equals Answer(id, body).
func CheckAnswer(id string, body, answer []byte) error {
	if !bytes.Equal(answer, Answer(id, body)) {
		return ErrWrongAnswer
	}
	return nil
}
