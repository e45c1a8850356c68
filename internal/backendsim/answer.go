// Package backendsim is the simulated backend server: it announces itself to
// entries, answers calls with a function of their content, and injects faults.
package backendsim

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"
)

// ErrWrongAnswer is an answer that does not belong to the request.
var ErrWrongAnswer = errors.New("backendsim: the answer does not belong to the request")

// Answer returns the answer to a request: the SHA-256 of the identifier and the
// body in hexadecimal, a line feed, and the body.
func Answer(id string, body []byte) []byte {
	digest := sha256.New()
	digest.Write([]byte(id))
	digest.Write([]byte{0})
	digest.Write(body)
	out := hex.AppendEncode(nil, digest.Sum(nil))
	out = append(out, '\n')
	return append(out, body...)
}

// CheckAnswer returns ErrWrongAnswer unless the answer is whole and belongs to
// the request.
func CheckAnswer(id string, body, answer []byte) error {
	if !bytes.Equal(answer, Answer(id, body)) {
		return ErrWrongAnswer
	}
	return nil
}
