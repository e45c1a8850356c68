// Package crowd plays clients that misuse HTTP servers, and measures the processes that they
// use. It serves tests of the limits of our listeners, and checks nothing itself.
package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/samphirefork/samphirefork/internal/wait"
)

const (
	dialTimeout = 5 * time.Second
	piecePause  = 20 * time.Millisecond
)

// Crowd is a number of clients that send the same request at once.
type Crowd struct {
	// Address is the IP address and port of the server.
	Address string
	Clients int
	// Message returns what the client with the number sends.
	Message func(client int) []byte
	// Piece is the number of bytes that a client writes before it pauses; 0 writes all at once.
	Piece int
	// Return makes a client connect again whenever the server has closed its connection.
	Return bool
	// Unread makes the clients read nothing.
	Unread bool
}

// Play lets the clients connect, send and keep their connections open until ctx ends, and waits for
// them to leave. It returns the number of connections that the server has closed.
func (c Crowd) Play(ctx context.Context) int {
	var group sync.WaitGroup
	var mu sync.Mutex
	closed := 0
	for i := range c.Clients {
		group.Go(func() {
			for ctx.Err() == nil {
				if c.visit(ctx, c.Message(i)) {
					mu.Lock()
					closed++
					mu.Unlock()
				}
				if !c.Return {
					return
				}
			}
		})
	}
	group.Wait()
	return closed
}

// visit plays one connection, and reports whether the server has closed it.
func (c Crowd) visit(ctx context.Context, message []byte) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.Address)
	if err != nil {
		return false
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer func() { stop(); _ = conn.Close() }()
	if err := c.send(ctx, conn, message); err == nil && c.Unread {
		<-ctx.Done()
	} else if err == nil {
		_, _ = io.Copy(io.Discard, conn) // ends when the server closes the connection
	}
	return ctx.Err() == nil
}

func (c Crowd) send(ctx context.Context, conn net.Conn, message []byte) error {
	for c.Piece > 0 && len(message) > c.Piece {
		if _, err := conn.Write(message[:c.Piece]); err != nil {
			return err
		}
		message = message[c.Piece:]
		wait.For(ctx, piecePause)
	}
	_, err := conn.Write(message)
	return err
}

// Declared returns a request with a Content-Length, without the last missing bytes of its body.
func Declared(head string, body []byte, missing int) []byte {
	return append(fmt.Appendf(nil, "%s\r\nContent-Length: %d\r\n\r\n", head, len(body)), body[:len(body)-missing]...)
}

// Chunked returns a request whose body comes in chunks of size bytes, without the last missing bytes
// of the body and what follows them.
func Chunked(head string, body []byte, size, missing int) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s\r\nTransfer-Encoding: chunked\r\n\r\n", head)
	for at := 0; at < len(body); at += size {
		chunk := body[at:min(at+size, len(body))]
		fmt.Fprintf(&out, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	if missing > 0 {
		return out.Bytes()[:out.Len()-missing-len("\r\n")]
	}
	out.WriteString("0\r\n\r\n")
	return out.Bytes()
}
