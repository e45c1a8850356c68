package crowd_test

import (
	"testing"

	"github.com/samphirefork/samphirefork/internal/crowd"
)

// Guards against a port for other processes that takes a large message before its sender has shown
// that it knows the secret.
func TestMessagesBeforeTheHandshake(t *testing.T) {
	upgrade := "GET /peer HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" +
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
	// The head of a final, masked, binary frame with a length of 8 bytes.
	frame := []byte{0x82, 0xff, 0, 0, 0, 0, 0, byte(bodyBytes >> 16), 0, 0, 0, 0, 0, 0}
	message := append(append([]byte(upgrade), frame...), make([]byte, bodyBytes-1)...)
	for _, listener := range []string{"entry", "store"} {
		t.Run(listener, func(t *testing.T) {
			r := start(t)
			address := map[string]string{"entry": r.entry.Peer, "store": r.store.Peer}[listener]
			r.play(crowd.Crowd{Address: address, Clients: clients, Message: func(int) []byte { return message }, Return: true})
		})
	}
}
