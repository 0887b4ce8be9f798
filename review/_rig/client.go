package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// channel is a client's channel to a gateway.
type channel struct {
	conn net.Conn
	r    *bufio.Reader
}

func openChannel(address string) (*channel, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: c, r: bufio.NewReader(c)}, nil
}

// outcome is what a client got for one request.
type outcome struct {
	// status is 0 if the channel ended without a complete answer.
	status   int
	sealed   bool
	body     string
	closing  bool
	err      error
	timedOut bool
}

func (o outcome) String() string {
	switch {
	case o.timedOut:
		return "nothing before its deadline"
	case o.err != nil:
		return fmt.Sprintf("no complete answer, the channel ended: %v", o.err)
	}
	return fmt.Sprintf("status %d, sealed %v, body %q", o.status, o.sealed, o.body)
}

// do sends a request and reads its answer within the deadline.
func (c *channel) do(method, host, path, id, body string, deadline time.Duration) outcome {
	var b strings.Builder
	fmt.Fprintf(
		&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n",
		method, path, host, wire.RequestID, id, wire.Deadline, deadline.Milliseconds(),
	)
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		return outcome{err: err}
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	var text []byte
	if err == nil {
		text, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		var ne net.Error
		return outcome{err: err, timedOut: errors.As(err, &ne) && ne.Timeout()}
	}
	return outcome{status: resp.StatusCode, sealed: resp.Header.Get(wire.Seal) != "", body: string(text), closing: resp.Close}
}

func (c *channel) close() { _ = c.conn.Close() }
