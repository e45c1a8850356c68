package operator

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"

	"connectrpc.com/connect"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
	"github.com/samphirefork/samphirefork/internal/fleet"
)

const (
	// keyIDHexDigits is the length of a key identifier. 64 bits make collisions
	// improbable.
	keyIDHexDigits = 16
	// The purposes separate the two values that are derived from the same request.
	keyIDPurpose     = "samphirefork key id"
	keySecretPurpose = "samphirefork key secret"
)

// deriveHex returns the hexadecimal HMAC-SHA256, with secret as the key, of purpose,
// requestID and team, each followed by a zero byte. The same request therefore yields
// the same key on every entry instance, and no secret has to be stored for a repeated
// request.
func deriveHex(secret []byte, purpose, requestID, team string) string {
	h := hmac.New(sha256.New, secret)
	for _, part := range []string{purpose, requestID, team} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil))
}

// IssueKey issues a key for a team. The replicated log receives only the SHA-256 hash of
// the secret of the key.
func (s *service) IssueKey(ctx context.Context, req *connect.Request[samphireforkv1.IssueKeyRequest]) (*connect.Response[samphireforkv1.IssueKeyResponse], error) {
	team := req.Msg.GetTeam()
	if err := checkName("team", team); err != nil {
		return nil, err
	}
	if len(s.opts.KeySecret) == 0 {
		return nil, notRunError(connect.CodeFailedPrecondition, CodeNoKeySecret, "this entry instance has no secret to derive keys from")
	}
	requestID := req.Msg.GetChange().GetRequestId()
	id := deriveHex(s.opts.KeySecret, keyIDPurpose, requestID, team)[:keyIDHexDigits]
	secret := deriveHex(s.opts.KeySecret, keySecretPurpose, requestID, team)
	sum := sha256.Sum256([]byte(secret))
	key := &fleet.Key{ID: id, Team: team, SecretSHA256: hex.EncodeToString(sum[:])}
	out, err := s.propose(ctx, req.Msg.GetChange(), fleet.ChangeItem{IssueKey: key})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&samphireforkv1.IssueKeyResponse{Outcome: out, KeyId: id, Key: id + "." + secret}), nil
}

// WithdrawKey makes a key invalid.
func (s *service) WithdrawKey(ctx context.Context, req *connect.Request[samphireforkv1.WithdrawKeyRequest]) (*connect.Response[samphireforkv1.WithdrawKeyResponse], error) {
	if err := checkName("key_id", req.Msg.GetKeyId()); err != nil {
		return nil, err
	}
	out, err := s.propose(ctx, req.Msg.GetChange(), fleet.ChangeItem{WithdrawKey: req.Msg.GetKeyId()})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&samphireforkv1.WithdrawKeyResponse{Outcome: out}), nil
}
