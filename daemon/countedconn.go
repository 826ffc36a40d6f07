package daemon

import (
	"expvar"
	"net"
)

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	vars *expvar.Map
	name string
}

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.vars.Add(c.name+"_bytes_in", int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.vars.Add(c.name+"_bytes_out", int64(n))
	return n, err
}
