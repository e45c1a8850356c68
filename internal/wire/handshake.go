package wire

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net"
	"net/http"
	"net/netip"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Credentials are what a process shows to its peers.
type Credentials struct {
	// Instance is the name of this process's instance.
	Instance string
	// Secret is shared by all processes of a fleet.
	Secret []byte
	// LocalIP is the source address of outgoing connections, so that an
	// instance with several addresses is known by one; empty lets the system choose.
	LocalIP string
}

// ListenIP returns the host part of a listen address for use as LocalIP, or
// nothing when the address is unspecified.
func ListenIP(listen string) string {
	addr, err := netip.ParseAddrPort(listen)
	if err != nil || addr.Addr().IsUnspecified() {
		return ""
	}
	return addr.Addr().String()
}

func (c Credentials) httpClient() *http.Client {
	dialer := net.Dialer{Timeout: handshakeTimeout}
	if c.LocalIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(c.LocalIP)}
	}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
}

const nonceBytes = 32

// hello opens the handshake in both directions.
type hello struct {
	Version  uint8  `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
	Nonce    []byte `cbor:"3,keyasint"`
}

// proof is the HMAC-SHA256 over both nonces, the sender's role and its instance.
type proof struct {
	MAC []byte `cbor:"1,keyasint"`
}

// Dial connects to the process at addr (an IP address and a port) and proves the secret.
func Dial(ctx context.Context, addr string, creds Credentials, handler Handler) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	ws, _, err := websocket.Dial(ctx, "ws://"+addr+Path, &websocket.DialOptions{
		HTTPClient:      creds.httpClient(),
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, errors.Wrap(err, "wire: dial")
	}
	ws.SetReadLimit(MaxFrameBytes)
	peer, err := shakeHands(ctx, ws, creds, "dial", "accept")
	if err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	return newConn(ws, peer, handler), nil
}

// Accept upgrades an HTTP request at Path to a proven connection.
func Accept(w http.ResponseWriter, r *http.Request, creds Credentials, handler Handler) (*Conn, error) {
	ctx, cancel := context.WithTimeout(r.Context(), handshakeTimeout)
	defer cancel()
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, errors.Wrap(err, "wire: accept")
	}
	ws.SetReadLimit(MaxFrameBytes)
	peer, err := shakeHands(ctx, ws, creds, "accept", "dial")
	if err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	return newConn(ws, peer, handler), nil
}

// shakeHands exchanges nonces and proofs. The role in the proof keeps a peer
// from sending our own proof back to us.
func shakeHands(ctx context.Context, ws *websocket.Conn, creds Credentials, role, peerRole string) (string, error) {
	mine := hello{Version: Version, Instance: creds.Instance, Nonce: make([]byte, nonceBytes)}
	if _, err := rand.Read(mine.Nonce); err != nil {
		return "", errors.Wrap(err, "wire: nonce")
	}
	if err := writeFrame(ctx, ws, TypeHello, mine); err != nil {
		return "", err
	}
	var theirs hello
	if err := readFrame(ctx, ws, TypeHello, &theirs); err != nil {
		return "", err
	}
	if theirs.Version != Version {
		return "", ErrVersion
	}
	if len(theirs.Nonce) != nonceBytes {
		return "", ErrUnauthenticated
	}
	if err := writeFrame(ctx, ws, TypeProof, proof{MAC: mac(creds.Secret, role, mine, theirs)}); err != nil {
		return "", err
	}
	var got proof
	if err := readFrame(ctx, ws, TypeProof, &got); err != nil {
		return "", err
	}
	if !hmac.Equal(got.MAC, mac(creds.Secret, peerRole, theirs, mine)) {
		return "", ErrUnauthenticated
	}
	return theirs.Instance, nil
}

func mac(secret []byte, role string, sender, receiver hello) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write([]byte(role))
	h.Write([]byte{0})
	h.Write(sender.Nonce)
	h.Write(receiver.Nonce)
	h.Write([]byte(sender.Instance))
	return h.Sum(nil)
}

func writeFrame(ctx context.Context, ws *websocket.Conn, t Type, body any) error {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "wire: encode body")
	}
	data, err := cbor.Marshal(Frame{Version: Version, Type: t, Body: raw})
	if err != nil {
		return errors.Wrap(err, "wire: encode frame")
	}
	return errors.Wrap(ws.Write(ctx, websocket.MessageBinary, data), "wire: handshake")
}

func readFrame(ctx context.Context, ws *websocket.Conn, t Type, body any) error {
	_, data, err := ws.Read(ctx)
	if err != nil {
		return errors.Wrap(err, "wire: handshake")
	}
	f, err := DecodeFrame(data)
	if err != nil {
		return err
	}
	if f.Type != t {
		return ErrUnauthenticated
	}
	return errors.Wrap(decMode.Unmarshal(f.Body, body), "wire: handshake")
}
