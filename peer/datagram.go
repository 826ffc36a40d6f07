package peer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// Datagrams sends and receives sealed hints. The gnet form is UDP; tests use
// an in-memory one.
type Datagrams interface {
	// Send sends one datagram to an address; a loss is not reported.
	Send(address string, data []byte)
	// Close ends receiving.
	Close()
}

// udp is the gnet form of Datagrams.
type udp struct {
	gnet.BuiltinEventEngine
	engine  gnet.Engine
	receive func([]byte)
	booted  chan struct{}
	socket  *net.UDPConn
}

// ListenUDP receives datagrams on an address of the form IP:PORT. receive is
// called on gnet's event loop and must not keep the bytes.
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

// sealOverhead is by how much sealing may lengthen a datagram.
const sealOverhead = 64

// Send implements Datagrams. Addresses are IP numbers.
func (u *udp) Send(address string, data []byte) {
	if to, err := netip.ParseAddrPort(address); err == nil {
		_, _ = u.socket.WriteToUDPAddrPort(data, to)
	}
}

// Close implements Datagrams.
func (u *udp) Close() {
	u.socket.Close()
	ctx, cancel := context.WithTimeout(context.Background(), loopsEnd)
	defer cancel()
	// An error says that the loops have not ended yet; they do so by themselves.
	_ = u.engine.Stop(ctx)
}

// loopsEnd is how long the end of gnet's loops is waited for. They end within a
// millisecond, but gnet looks only every half second, by which a planned stop whose last
// request ran for long missed the end of its grace.
const loopsEnd = 20 * time.Millisecond

// silentLogger drops gnet's own log lines: events of the link are logged by
// those who use it.
type silentLogger struct{}

func (silentLogger) Debugf(string, ...any) {}
func (silentLogger) Infof(string, ...any)  {}
func (silentLogger) Warnf(string, ...any)  {}
func (silentLogger) Errorf(string, ...any) {}
func (silentLogger) Fatalf(string, ...any) {}
