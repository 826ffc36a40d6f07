package daemon

import (
	"expvar"
	"net"
)

// countedConn counts the bytes read from and written to a connection in vars, under the
// keys NAME_bytes_in and NAME_bytes_out.
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
