package peer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// Datagrams sends and receives encrypted datagrams. ListenUDP returns an
// implementation over UDP; tests use an in-memory one.
type Datagrams interface {
	// Send sends one datagram to an address. It does not report losses.
	Send(address string, data []byte)
	// Close stops receiving.
	Close()
}

// udp implements Datagrams with gnet.
type udp struct {
	gnet.BuiltinEventEngine
	engine  gnet.Engine
	receive func([]byte)
	booted  chan struct{}
	socket  *net.UDPConn
}

// ListenUDP receives datagrams on an address of the form IP:PORT. It calls receive
// on gnet's event loop; receive must not retain the slice.
func ListenUDP(address string, receive func([]byte)) (Datagrams, error) {
	u := &udp{receive: receive, booted: make(chan struct{})}
	socket, err := net.ListenUDP("udp", nil)
	if err != nil {
		return nil, err
	}
	u.socket = socket
	failed := make(chan error, 1)
	go func() {
		failed <- gnet.Run(u, "udp://"+address, gnet.WithNumEventLoop(1), gnet.WithLogger(silentLogger{}), gnet.WithReadBufferCap(readBufferBytes))
	}()
	select {
	case <-u.booted:
		return u, nil
	case err := <-failed:
		socket.Close()
		return nil, err
	}
}

// readBufferBytes is the size of gnet's read buffer.
const readBufferBytes = 4 << 10

// OnBoot implements gnet.EventHandler.
func (u *udp) OnBoot(e gnet.Engine) gnet.Action {
	u.engine = e
	close(u.booted)
	return gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (u *udp) OnTraffic(c gnet.Conn) gnet.Action {
	data, err := c.Next(-1)
	if err == nil && len(data) <= MaxHintBytes+sealOverhead {
		u.receive(data)
	}
	return gnet.None
}

// sealOverhead bounds the bytes that sealing adds to a datagram.
const sealOverhead = 64

// Send implements Datagrams. An address that is not of the form IP:PORT is ignored.
func (u *udp) Send(address string, data []byte) {
	if to, err := netip.ParseAddrPort(address); err == nil {
		_, _ = u.socket.WriteToUDPAddrPort(data, to)
	}
}

// Close implements Datagrams.
func (u *udp) Close() {
	u.socket.Close()
	ctx, cancel := context.WithTimeout(context.Background(), engineStopTimeout)
	defer cancel()
	// An error means that the event loops are still running; they end on their own.
	_ = u.engine.Stop(ctx)
}

// engineStopTimeout bounds the wait for gnet's event loops to end. They end within a
// millisecond, but gnet polls for that only every half second, which would make a planned
// stop with a long last request exceed its grace period.
const engineStopTimeout = 20 * time.Millisecond

// silentLogger discards gnet's log lines; users of Datagrams log the events that
// matter.
type silentLogger struct{}

func (silentLogger) Debugf(string, ...any) {}
func (silentLogger) Infof(string, ...any)  {}
func (silentLogger) Warnf(string, ...any)  {}
func (silentLogger) Errorf(string, ...any) {}
func (silentLogger) Fatalf(string, ...any) {}
