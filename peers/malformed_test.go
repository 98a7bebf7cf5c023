package peers_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/protobuf/proto"

	"jackdawbarrow/peers"
	"jackdawbarrow/wire"
)

// rawAnswer is a response of gRPC, frame by frame.
type rawAnswer struct {
	head, trailer []string // names and values in turn
	message       []byte   // as it is sent
	isReset       bool     // the connection, after the message
}

// serveRaw sends the answer to each call.
func serveRaw(t *testing.T, a rawAnswer) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go a.serve(c)
		}
	}()
	return l.Addr().String()
}

func (a rawAnswer) serve(c net.Conn) {
	defer c.Close()
	if _, err := io.ReadFull(c, make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	f := http2.NewFramer(c, c)
	if f.WriteSettings() != nil {
		return
	}
	var block bytes.Buffer
	enc := hpack.NewEncoder(&block)
	fields := func(list []string) []byte {
		block.Reset()
		for i := 0; i < len(list); i += 2 {
			_ = enc.WriteField(hpack.HeaderField{Name: list[i], Value: list[i+1]}) // to memory
		}
		return block.Bytes()
	}
	for {
		frame, err := f.ReadFrame()
		if err != nil {
			return
		}
		id := frame.Header().StreamID
		switch frame := frame.(type) {
		case *http2.SettingsFrame:
			if !frame.IsAck() {
				err = f.WriteSettingsAck()
			}
		case *http2.DataFrame:
			if !frame.StreamEnded() {
				continue
			}
			err = f.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: fields(a.head), EndHeaders: true})
			if err == nil {
				err = f.WriteData(id, a.trailer == nil && !a.isReset, a.message)
			}
			if err == nil && a.trailer != nil {
				err = f.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: fields(a.trailer), EndHeaders: true, EndStream: true})
			}
			if a.isReset {
				time.Sleep(20 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Guards against a malformed or cut answer of another VM that passes for one: changes
// for a feed, and with them all calls between VMs, which use the same connections.
func TestMalformedAnswers(t *testing.T) {
	encoded, err := proto.Marshal(&wire.StoreChangesReply{Revision: 7, Current: true})
	if err != nil {
		t.Fatal(err)
	}
	message := append([]byte{0, 0, 0, 0, byte(len(encoded))}, encoded...)
	head := func(status string, more ...string) []string {
		return append([]string{":status", status, "content-type", "application/grpc"}, more...)
	}
	done := []string{"grpc-status", "0"}
	cases := map[string]struct {
		answer rawAnswer
		isOK   bool
	}{
		"sound":                {rawAnswer{head: head("200"), message: message, trailer: done}, true},
		"status 000, not gRPC": {rawAnswer{head: []string{":status", "000", "content-type", "text/plain"}, message: message, trailer: done}, false},
		"status 999, not gRPC": {rawAnswer{head: []string{":status", "999", "content-type", "text/plain"}, message: message, trailer: done}, false},
		"no gRPC status":       {rawAnswer{head: head("000"), message: message, trailer: []string{"note", "x"}}, false},
		// The status of gRPC goes before that of HTTP.
		"status 000, gRPC status 0": {rawAnswer{head: head("000"), message: message, trailer: done}, true},
		"blank in a name":           {rawAnswer{head: head("200", "bad note", "x"), message: message, trailer: done}, false},
		"control byte in a name":    {rawAnswer{head: head("200", "bad\x01note", "x"), message: message, trailer: done}, false},
		"control byte in a value":   {rawAnswer{head: head("200", "note", "x\x00"), message: message, trailer: done}, false},
		"blank in a trailer's name": {rawAnswer{head: head("200"), message: message, trailer: append([]string{"bad note", "x"}, done...)}, false},
		"ends without a trailer":    {rawAnswer{head: head("200"), message: message}, false},
		"part of the message":       {rawAnswer{head: head("200"), message: message[:len(message)-1], trailer: done}, false},
		"reset after the message":   {rawAnswer{head: head("200"), message: message, isReset: true}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			conns := peers.NewConnections()
			defer conns.Close()
			conn, err := conns.Conn(serveRaw(t, c.answer), time.Now())
			if err != nil {
				t.Fatal(err)
			}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			reply, err := wire.NewFeedClient(conn).StoreChanges(ctx, &wire.StoreChangesRequest{})
			if (err == nil) != c.isOK || err == nil && reply.GetRevision() != 7 {
				t.Errorf("got %v, %v", reply, err)
			}
			if ctx.Err() != nil {
				t.Error("the call was held until its deadline")
			}
		})
	}
}
