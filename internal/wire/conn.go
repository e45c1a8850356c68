// Package wire carries typed messages between the processes of samphirefork: CBOR
// frames over a WebSocket, with a handshake in which both sides prove that they
// know the shared secret.
//
// A Conn is symmetric: either side may call the other. Requests on one
// connection run concurrently and their replies may overtake each other.
package wire

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// Version is the protocol version; peers with another one are refused.
	Version = 1
	// MaxFrameBytes bounds a frame in both directions.
	MaxFrameBytes = 4 << 20
	// Path is the HTTP path at which a process accepts its peers.
	Path = "/peer"

	handshakeTimeout = 2 * time.Second
	// A connection whose peer answers no ping within pingTimeout is closed, since
	// TCP alone would keep a connection over a partition for many minutes.
	pingInterval = time.Second
	pingTimeout  = 2 * time.Second
	writeTimeout = 2 * time.Second
	maxInFlight  = 4096
)

// Sentinel errors of connections. After ErrNotSent the peer has not received the
// request; after ErrClosed it may have.
var (
	ErrNotSent         = errors.New("wire: request was not sent")
	ErrClosed          = errors.New("wire: connection closed before the reply")
	ErrTooLarge        = errors.New("wire: frame exceeds the size limit")
	ErrUnauthenticated = errors.New("wire: peer did not prove the shared secret")
	ErrVersion         = errors.New("wire: peer speaks another protocol version")
)

// Frame is one message on the wire.
type Frame struct {
	Version uint8           `cbor:"1,keyasint"`
	Type    Type            `cbor:"2,keyasint"`
	ID      uint64          `cbor:"3,keyasint,omitempty"`
	ReplyTo uint64          `cbor:"4,keyasint,omitempty"`
	Body    cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// Request is a received message.
type Request struct {
	Type Type
	// From is the instance name that the peer stated in the handshake.
	From string
	body cbor.RawMessage
}

// Decode decodes the body into v. A malformed body is an ErrorBody with CodeBadMessage.
func (r Request) Decode(v any) error {
	if err := decMode.Unmarshal(r.body, v); err != nil {
		return &ErrorBody{Code: CodeBadMessage, Message: err.Error()}
	}
	return nil
}

// Handler answers requests. The reply is encoded as CBOR; an *ErrorBody error
// reaches the caller as it is, and any other error with CodeInternal. A one-way
// message has its reply dropped.
type Handler func(ctx context.Context, req Request) (any, error)

var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	opts := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20, MaxNestedLevels: 16}
	mode, err := opts.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// DecodeFrame decodes one frame of the given bytes.
func DecodeFrame(data []byte) (Frame, error) {
	var f Frame
	if len(data) > MaxFrameBytes {
		return f, ErrTooLarge
	}
	if err := decMode.Unmarshal(data, &f); err != nil {
		return f, &ErrorBody{Code: CodeBadMessage, Message: err.Error()}
	}
	if f.Version != Version {
		return f, ErrVersion
	}
	return f, nil
}

// Conn is a proven connection to a peer process.
type Conn struct {
	ws      *websocket.Conn
	peer    string
	handler Handler

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	served sync.WaitGroup
	slots  chan struct{}

	nextID  atomic.Uint64
	mu      sync.Mutex
	waiting map[uint64]chan Frame
	writeMu sync.Mutex
}

func newConn(ws *websocket.Conn, peer string, handler Handler) *Conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Conn{
		ws:      ws,
		peer:    peer,
		handler: handler,
		ctx:     ctx,
		cancel:  cancel,
		done:    make(chan struct{}),
		slots:   make(chan struct{}, maxInFlight),
		waiting: map[uint64]chan Frame{},
	}
	go c.readLoop()
	c.served.Add(1)
	go c.pingLoop()
	return c
}

func (c *Conn) pingLoop() {
	defer c.served.Done()
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
		ctx, cancel := context.WithTimeout(c.ctx, pingTimeout)
		err := c.ws.Ping(ctx)
		cancel()
		if err != nil {
			c.cancel()
			return
		}
	}
}

// Peer returns the instance name that the peer stated in the handshake.
func (c *Conn) Peer() string { return c.peer }

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// ActiveRequests returns the number of received requests whose reply has not been written.
func (c *Conn) ActiveRequests() int { return len(c.slots) }

// Close ends the connection and waits for its goroutines.
func (c *Conn) Close() {
	c.cancel()
	_ = c.ws.CloseNow()
	<-c.done
	c.served.Wait()
}

// Call sends a request and decodes its reply into resp, unless resp is nil.
// The error tells what the caller may conclude: ErrNotSent and an *ErrorBody
// without CodeUncertain mean that the request was not carried out; ErrClosed and
// a context error mean that it may have been.
func (c *Conn) Call(ctx context.Context, t Type, req, resp any) error {
	id := c.nextID.Add(1)
	replies := make(chan Frame, 1)
	c.mu.Lock()
	c.waiting[id] = replies
	c.mu.Unlock()
	defer c.forget(id)

	if err := c.write(ctx, Frame{Version: Version, Type: t, ID: id}, req); err != nil {
		return err
	}
	select {
	case f := <-replies:
		return decodeReply(f, resp)
	case <-c.done:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Send sends a one-way message.
func (c *Conn) Send(ctx context.Context, t Type, msg any) error {
	return c.write(ctx, Frame{Version: Version, Type: t}, msg)
}

func decodeReply(f Frame, resp any) error {
	if f.Type == TypeError {
		var body ErrorBody
		if err := decMode.Unmarshal(f.Body, &body); err != nil {
			return errors.Wrap(err, "wire: decode error reply")
		}
		return &body
	}
	if resp == nil {
		return nil
	}
	return errors.Wrap(decMode.Unmarshal(f.Body, resp), "wire: decode reply")
}

func (c *Conn) forget(id uint64) {
	c.mu.Lock()
	delete(c.waiting, id)
	c.mu.Unlock()
}

// write encodes and sends one frame. Its own time limit, instead of the
// caller's context, keeps a cancelled call from closing the shared connection.
func (c *Conn) write(ctx context.Context, f Frame, body any) error {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "wire: encode body")
	}
	f.Body = raw
	data, err := cbor.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "wire: encode frame")
	}
	if len(data) > MaxFrameBytes {
		return ErrTooLarge
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	// Checked behind the lock: a write to a stalled peer holds it, and ends the
	// connection before the frames that wait for it are sent.
	if ctx.Err() != nil || c.ctx.Err() != nil {
		return ErrNotSent
	}
	writeCtx, cancel := context.WithTimeout(c.ctx, writeTimeout)
	defer cancel()
	if err := c.ws.Write(writeCtx, websocket.MessageBinary, data); err != nil {
		c.cancel()
		return ErrClosed
	}
	return nil
}

func (c *Conn) readLoop() {
	defer close(c.done)
	defer c.cancel()
	for {
		_, data, err := c.ws.Read(c.ctx)
		if err != nil {
			return
		}
		f, err := DecodeFrame(data)
		if err != nil {
			return
		}
		if f.ReplyTo != 0 {
			c.deliver(f)
			continue
		}
		c.serve(f)
	}
}

func (c *Conn) deliver(f Frame) {
	c.mu.Lock()
	replies, ok := c.waiting[f.ReplyTo]
	delete(c.waiting, f.ReplyTo)
	c.mu.Unlock()
	if ok {
		replies <- f
	}
}

// serve runs the handler of one message. Order between messages is kept only
// for the type TypeRaft, which the consensus core handles without blocking.
func (c *Conn) serve(f Frame) {
	req := Request{Type: f.Type, From: c.peer, body: f.Body}
	if f.Type == TypeRaft && f.ID == 0 {
		_, _ = c.handler(c.ctx, req)
		return
	}
	select {
	case c.slots <- struct{}{}:
	default:
		c.reply(f, nil, &ErrorBody{Code: CodeBusy, Message: "too many requests in flight"})
		return
	}
	c.served.Add(1)
	go func() {
		defer c.served.Done()
		defer func() { <-c.slots }()
		resp, err := c.handler(c.ctx, req)
		c.reply(f, resp, err)
	}()
}

func (c *Conn) reply(f Frame, resp any, err error) {
	if f.ID == 0 {
		return
	}
	out := Frame{Version: Version, Type: f.Type, ReplyTo: f.ID}
	if err != nil {
		out.Type = TypeError
		resp = asErrorBody(err)
	}
	if werr := c.write(c.ctx, out, resp); errors.Is(werr, ErrTooLarge) {
		out.Type = TypeError
		_ = c.write(c.ctx, out, &ErrorBody{Code: CodeInternal, Message: werr.Error()})
	}
}

func asErrorBody(err error) *ErrorBody {
	var body *ErrorBody
	if errors.As(err, &body) {
		return body
	}
	return &ErrorBody{Code: CodeInternal, Message: err.Error()}
}
