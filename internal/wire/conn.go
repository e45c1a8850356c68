// Package wire carries typed messages between the processes of samphirefork: CBOR
// frames over a WebSocket, with a handshake in which both sides prove that they know
// the shared secret.
//
// A Conn is symmetric: either side may call the other. Requests on one connection are
// handled concurrently, so replies may arrive in another order than their requests.
package wire

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// Version is the protocol version. Peers with another version are refused.
	Version = 1
	// MaxFrameBytes is the largest size of an encoded frame in either direction.
	MaxFrameBytes = 4 << 20
	// Path is the HTTP path at which a process accepts its peers.
	Path = "/peer"

	handshakeTimeout = 2 * time.Second
	// A connection whose peer does not answer a ping within pingTimeout is closed,
	// since TCP alone may keep a connection across a partition for many minutes.
	pingInterval = time.Second
	pingTimeout  = 2 * time.Second
	// A connection on which a write takes longer than writeTimeout is closed.
	writeTimeout = 2 * time.Second
	// maxInFlight is the largest number of received requests that one connection
	// handles at a time. Further ones are refused with CodeBusy.
	maxInFlight = 4096
)

// Errors of connections. After ErrNotSent and ErrTooLarge the peer has not received
// the request; after ErrClosed it may have.
var (
	ErrNotSent         = errors.New("wire: request was not sent")
	ErrClosed          = errors.New("wire: connection closed before the reply arrived")
	ErrTooLarge        = errors.New("wire: frame exceeds the size limit")
	ErrUnauthenticated = errors.New("wire: peer did not prove that it knows the shared secret")
	ErrVersion         = errors.New("wire: peer uses another protocol version")
)

// Frame is one message on the wire. A request has an ID; its reply has the same number
// in ReplyTo. A one-way message has neither.
type Frame struct {
	Version uint8           `cbor:"1,keyasint"`
	Type    Type            `cbor:"2,keyasint"`
	ID      uint64          `cbor:"3,keyasint,omitempty"`
	ReplyTo uint64          `cbor:"4,keyasint,omitempty"`
	Body    cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// Request is a received request or one-way message.
type Request struct {
	Type Type
	// From is the instance name that the peer stated in the handshake.
	From string
	body cbor.RawMessage
}

// NewRequest returns the request that a Handler receives for a message of the peer, for
// use without a connection. The error is that of encoding msg.
func NewRequest(t Type, from string, msg any) (Request, error) {
	body, err := cbor.Marshal(msg)
	return Request{Type: t, From: from, body: body}, errors.Wrap(err, "wire: encode body")
}

// Decode decodes the body into v, a pointer. The error for a malformed body is an
// *ErrorBody with CodeBadMessage.
func (r Request) Decode(v any) error {
	if err := decMode.Unmarshal(r.body, v); err != nil {
		return &ErrorBody{Code: CodeBadMessage, Message: err.Error()}
	}
	return nil
}

// Handler handles received messages. The reply is encoded as CBOR. An error that is or
// wraps an *ErrorBody is sent to the caller unchanged, and the text of any other error
// with CodeInternal. For a one-way message the reply and the error are discarded. ctx
// ends with the connection.
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

// DecodeFrame decodes one frame. It returns ErrTooLarge, ErrVersion, or an *ErrorBody
// with CodeBadMessage if data is not a frame.
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

// Conn is an authenticated connection to a peer process. It is safe for concurrent
// use.
type Conn struct {
	ws      *websocket.Conn
	peer    string
	handler Handler

	ctx        context.Context
	cancel     context.CancelFunc
	done       chan struct{}
	goroutines sync.WaitGroup
	inFlight   chan struct{}

	nextID       atomic.Uint64
	mu           sync.Mutex
	pendingCalls map[uint64]chan Frame
	writeMu      sync.Mutex
}

func newConn(ws *websocket.Conn, peer string, handler Handler) *Conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Conn{
		ws:           ws,
		peer:         peer,
		handler:      handler,
		ctx:          ctx,
		cancel:       cancel,
		done:         make(chan struct{}),
		inFlight:     make(chan struct{}, maxInFlight),
		pendingCalls: map[uint64]chan Frame{},
	}
	go c.readLoop()
	c.goroutines.Add(1)
	go c.pingLoop()
	return c
}

func (c *Conn) pingLoop() {
	defer c.goroutines.Done()
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

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// ActiveRequests returns the number of received requests whose reply has not been
// written yet.
func (c *Conn) ActiveRequests() int { return len(c.inFlight) }

// Close closes the connection, cancels the contexts of its handlers and waits for them
// to return.
func (c *Conn) Close() {
	c.cancel()
	_ = c.ws.CloseNow()
	<-c.done
	c.goroutines.Wait()
}

// Call sends a request and decodes its reply into resp, unless resp is nil.
//
// After ErrNotSent, ErrTooLarge and an *ErrorBody with another code than CodeUncertain
// and CodeInternal, the request was not carried out. After ErrClosed, an error of ctx,
// an *ErrorBody with one of these codes and an error of decoding the reply, it may have
// been.
func (c *Conn) Call(ctx context.Context, t Type, req, resp any) error {
	id := c.nextID.Add(1)
	replies := make(chan Frame, 1)
	c.mu.Lock()
	c.pendingCalls[id] = replies
	c.mu.Unlock()
	defer c.removePending(id)

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

// Send sends a one-way message. A nil error does not mean that the peer received it.
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

func (c *Conn) removePending(id uint64) {
	c.mu.Lock()
	delete(c.pendingCalls, id)
	c.mu.Unlock()
}

// write encodes and sends one frame. The write has its own time limit instead of ctx,
// since a cancelled write closes the WebSocket, which other calls share.
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
	// Checked with the lock held: a write to a stalled peer holds the lock and may
	// close the connection before the frames that wait for the lock are sent.
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
			c.deliverReply(f)
			continue
		}
		c.serve(f)
	}
}

func (c *Conn) deliverReply(f Frame) {
	c.mu.Lock()
	replies, ok := c.pendingCalls[f.ReplyTo]
	delete(c.pendingCalls, f.ReplyTo)
	c.mu.Unlock()
	if ok {
		replies <- f
	}
}

// serve runs the handler of one message in a goroutine. One-way messages of TypeRaft
// are handled in the read loop instead, which keeps their order; their handler does
// not block.
func (c *Conn) serve(f Frame) {
	req := Request{Type: f.Type, From: c.peer, body: f.Body}
	if f.Type == TypeRaft && f.ID == 0 {
		_, _ = c.handler(c.ctx, req)
		return
	}
	select {
	case c.inFlight <- struct{}{}:
	default:
		c.reply(f, nil, &ErrorBody{Code: CodeBusy, Message: "too many requests in flight"})
		return
	}
	c.goroutines.Add(1)
	go func() {
		defer c.goroutines.Done()
		defer func() { <-c.inFlight }()
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

// asErrorBody returns the reply for an error. Its message may quote any bytes, but the peer
// decodes UTF-8 only.
func asErrorBody(err error) *ErrorBody {
	reply := ErrorBody{Code: CodeInternal, Message: err.Error()}
	var body *ErrorBody
	if errors.As(err, &body) {
		reply = *body
	}
	reply.Message = strings.ToValidUTF8(reply.Message, string(utf8.RuneError))
	return &reply
}
