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

// Credentials identify a process to its peers and authenticate it.
type Credentials struct {
	// Instance is the name of the instance on which this process runs.
	Instance string
	// Secret is shared by all processes of a fleet.
	Secret []byte
	// LocalIP is the source address of outgoing connections. It gives an instance with
	// several addresses a single one towards its peers. If it is empty, the operating
	// system chooses.
	LocalIP string
}

// ListenIP returns the IP address in a listen address, for use as LocalIP. It returns
// "" if the IP address is unspecified (such as 0.0.0.0) or listen is not an IP address
// and a port.
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

// hello is the first handshake message of either side.
type hello struct {
	Version  uint8  `cbor:"1,keyasint"`
	Instance string `cbor:"2,keyasint"`
	Nonce    []byte `cbor:"3,keyasint"`
}

// proof is the second handshake message of either side. MAC is the HMAC-SHA256 of the
// sender's role, both nonces and the sender's instance name.
type proof struct {
	MAC []byte `cbor:"1,keyasint"`
}

// Dial connects to the process at addr (an IP address and a port) and authenticates
// both sides, within 2 seconds. handler handles the messages that the peer sends over
// the connection. A failed handshake returns ErrUnauthenticated, ErrVersion or an
// error of the connection.
func Dial(ctx context.Context, addr string, creds Credentials, handler Handler) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	ws, _, err := websocket.Dial(ctx, "ws://"+addr+Path, &websocket.DialOptions{
		HTTPClient:      creds.httpClient(),
		CompressionMode: websocket.CompressionDisabled,
	})
	if err != nil {
		return nil, errors.Wrap(err, "wire: dial peer")
	}
	peer, err := handshake(ctx, ws, creds, "dial", "accept")
	if err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	return newConn(ws, peer, handler), nil
}

// Accept upgrades an HTTP request at Path to a connection and authenticates both
// sides, within 2 seconds. handler handles the messages that the peer sends over the
// connection. A failed handshake returns ErrUnauthenticated, ErrVersion or an error of
// the connection.
func Accept(w http.ResponseWriter, r *http.Request, creds Credentials, handler Handler) (*Conn, error) {
	ctx, cancel := context.WithTimeout(r.Context(), handshakeTimeout)
	defer cancel()
	ws, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, errors.Wrap(err, "wire: accept WebSocket connection")
	}
	peer, err := handshake(ctx, ws, creds, "accept", "dial")
	if err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	return newConn(ws, peer, handler), nil
}

// maxHandshakeBytes bounds a frame of a peer that has not proved that it knows the secret.
const maxHandshakeBytes = 4 << 10

// handshake exchanges nonces and proofs and returns the peer's instance name. Only then
// does the connection take frames of up to MaxFrameBytes. The proof covers the sender's role, so that a peer cannot reflect this side's own proof.
func handshake(ctx context.Context, ws *websocket.Conn, creds Credentials, role, peerRole string) (string, error) {
	ws.SetReadLimit(maxHandshakeBytes)
	local := hello{Version: Version, Instance: creds.Instance, Nonce: make([]byte, nonceBytes)}
	if _, err := rand.Read(local.Nonce); err != nil {
		return "", errors.Wrap(err, "wire: generate nonce")
	}
	if err := writeFrame(ctx, ws, TypeHello, local); err != nil {
		return "", err
	}
	var remote hello
	if err := readFrame(ctx, ws, TypeHello, &remote); err != nil {
		return "", err
	}
	if remote.Version != Version {
		return "", ErrVersion
	}
	if len(remote.Nonce) != nonceBytes {
		return "", ErrUnauthenticated
	}
	if err := writeFrame(ctx, ws, TypeProof, proof{MAC: mac(creds.Secret, role, local, remote)}); err != nil {
		return "", err
	}
	var got proof
	if err := readFrame(ctx, ws, TypeProof, &got); err != nil {
		return "", err
	}
	if !hmac.Equal(got.MAC, mac(creds.Secret, peerRole, remote, local)) {
		return "", ErrUnauthenticated
	}
	ws.SetReadLimit(MaxFrameBytes)
	return remote.Instance, nil
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
	return errors.Wrap(ws.Write(ctx, websocket.MessageBinary, data), "wire: send handshake message")
}

func readFrame(ctx context.Context, ws *websocket.Conn, t Type, body any) error {
	_, data, err := ws.Read(ctx)
	if err != nil {
		return errors.Wrap(err, "wire: read handshake message")
	}
	f, err := DecodeFrame(data)
	if err != nil {
		return err
	}
	if f.Type != t {
		return ErrUnauthenticated
	}
	return errors.Wrap(decMode.Unmarshal(f.Body, body), "wire: decode handshake message")
}
