package soak

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/eiderspring/eiderspring/platform/fake"
)

// line is a caller's connection to an instance, kept from one request to the next. It
// repeats nothing, as net/http's transport would where a kept connection ends.
type line struct {
	conn   net.Conn
	in     *bufio.Reader
	dialed time.Time
	// answered tells whether an answer has come on the connection.
	answered bool
}

// lookTime is how long a caller looks whether its connection has been closed.
const lookTime = time.Millisecond

// open gives the line a connection, unless it has one that the instance keeps.
func (l *line) open(address string, until time.Time) error {
	if l.conn != nil {
		_ = l.conn.SetReadDeadline(time.Now().Add(lookTime))
		if _, err := l.in.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		l.close()
	}
	conn, err := (&net.Dialer{Deadline: until}).Dial("tcp", address)
	if err != nil {
		return err
	}
	l.conn, l.in, l.dialed, l.answered = conn, bufio.NewReader(conn), time.Now(), false
	return nil
}

func (l *line) close() {
	if l.conn != nil {
		l.conn.Close()
	}
	l.conn = nil
}

// ask sends a request and notes in the answer what comes of it.
func (l *line) ask(req *http.Request, a *Result, until time.Time) error {
	if err := l.open(req.URL.Host, until); err != nil {
		return err
	}
	a.Dialed = l.dialed
	_ = l.conn.SetDeadline(until)
	whole, err := l.exchange(req, a)
	if err != nil || !whole {
		l.close()
	}
	a.TimedOut = errors.Is(err, os.ErrDeadlineExceeded)
	return err
}

// exchange tells whether the connection can be kept.
func (l *line) exchange(req *http.Request, a *Result) (bool, error) {
	if err := req.Write(l.conn); err != nil {
		return false, err
	}
	a.Kept = l.answered
	resp, err := http.ReadResponse(l.in, req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	l.answered = true
	text, err := io.ReadAll(resp.Body)
	a.Status, a.Seal, a.Body = resp.StatusCode, fake.Seal(resp.Header), string(text)
	return !resp.Close, err
}
