package crowd

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// Target is what requests are sent to.
type Target struct {
	// Path and Host of the request, and further header lines, each with its line end.
	Path, Host, Lines string
	// IDHeader is the header with the request's id, "" for none. Each request has its own.
	IDHeader string
}

// begin returns the start of a request's head, without its end.
func (t Target) begin(c *Caller, request int) string {
	head := "POST " + t.Path + " HTTP/1.1\r\nHost: " + t.Host + "\r\n" + t.Lines
	if t.IDHeader != "" {
		head += fmt.Sprintf("%s: crowd-%d-%d-%d\r\n", t.IDHeader, c.N, c.Try, request)
	}
	return head
}

// Unfinished announces a body of a length and sends all but its last missing bytes.
func Unfinished(t Target, length, missing int) Kind {
	return func(c *Caller) error {
		if _, err := io.WriteString(c, t.begin(c, 0)+"Content-Length: "+strconv.Itoa(length)+"\r\n\r\n"); err != nil {
			return err
		}
		_, err := c.Write(bytes.Repeat([]byte{'x'}, length-missing))
		return err
	}
}

// UnfinishedChunks sends a body of a length in chunks of a size, without its end.
func UnfinishedChunks(t Target, length, size int) Kind {
	return func(c *Caller) error {
		if _, err := io.WriteString(c, t.begin(c, 0)+"Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		chunk := []byte(strconv.FormatInt(int64(size), 16) + "\r\n" + strings.Repeat("x", size) + "\r\n")
		_, err := c.Write(bytes.Repeat(chunk, length/size))
		return err
	}
}

// Whole sends requests with further header lines and a body of a length, and waits for the answer of
// each. It goes on after an answer if again is set.
func Whole(t Target, lines string, length int, again bool) Kind {
	return func(c *Caller) error {
		r := bufio.NewReader(c)
		body := strings.Repeat("x", length)
		for n := 0; c.Done.Err() == nil; n++ {
			if _, err := io.WriteString(c, t.begin(c, n)+lines+"Content-Length: "+strconv.Itoa(length)+"\r\n\r\n"+body); err != nil {
				return err
			}
			if err := readAnswer(c, r); err != nil || !again {
				return err
			}
		}
		return nil
	}
}

func readAnswer(c *Caller, r *bufio.Reader) error {
	_ = c.SetReadDeadline(time.Now().Add(answerTimeout))
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.Close {
		return io.EOF
	}
	return nil
}

// UnfinishedHead sends a head with further lines and no end.
func UnfinishedHead(t Target, lines string) Kind {
	return func(c *Caller) error {
		_, err := io.WriteString(c, t.begin(c, 0)+lines)
		return err
	}
}

// HeadWithoutBody sends a whole head with further lines, which announces a body, and no byte of that.
func HeadWithoutBody(t Target, lines string) Kind {
	return func(c *Caller) error {
		_, err := io.WriteString(c, t.begin(c, 0)+lines+"Content-Length: 9\r\n\r\n")
		return err
	}
}

// Trailers sends a chunked body whose trailer has the given lines and no end.
func Trailers(t Target, lines string) Kind {
	return func(c *Caller) error {
		_, err := io.WriteString(c, t.begin(c, 0)+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"+lines)
		return err
	}
}

// Pipelined sends a whole request and then, without waiting for its answer, bytes of a length.
func Pipelined(t Target, length, extra int) Kind {
	return func(c *Caller) error {
		if _, err := io.WriteString(c, t.begin(c, 0)+"Content-Length: "+strconv.Itoa(length)+"\r\n\r\n"+strings.Repeat("x", length)); err != nil {
			return err
		}
		_, err := io.WriteString(c, t.begin(c, 1)+"Content-Length: "+strconv.Itoa(extra)+"\r\n\r\n"+strings.Repeat("x", extra))
		return err
	}
}

// Unread sends requests without reading any answer.
func Unread(t Target, requests int) Kind {
	return func(c *Caller) error {
		for n := range requests {
			if _, err := io.WriteString(c, t.begin(c, n)+"Content-Length: 1\r\n\r\nx"); err != nil {
				return err
			}
		}
		<-c.Done.Done()
		return nil
	}
}

// dripPause is the time between two pieces.
const dripPause = 5 * time.Millisecond

// Drip sends a piece again and again until the connection ends, or until a number of bytes has been
// sent. It returns how many were.
func Drip(c *Caller, piece string, most int) (sent int, err error) {
	for sent < most && c.Done.Err() == nil {
		_ = c.SetReadDeadline(time.Now().Add(dripPause))
		var b [256]byte
		if _, err := c.Read(b[:]); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return sent, err
		}
		n, err := io.WriteString(c, piece)
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// Repeated returns a line as often as it fits into a size.
func Repeated(line string, size int) string { return strings.Repeat(line, size/len(line)) }

// Distinct returns lines with distinct names and no values that fit into a size.
func Distinct(size int) string {
	var b strings.Builder
	for n := 0; b.Len() < size-9; n++ {
		fmt.Fprintf(&b, "h%x:\r\n", n)
	}
	return b.String()
}

var errLeft = errors.New("crowd: the caller has left")

// Mixed has each connection do one of several kinds in turn and leave some time after it.
func Mixed(stay time.Duration, kinds ...Kind) Kind {
	return func(c *Caller) error {
		if err := kinds[(c.N+c.Try)%len(kinds)](c); err != nil {
			return err
		}
		sleep(c.Done, stay)
		return errLeft
	}
}

// Once sends one request with further header lines and a body of a length, in one piece or in chunks,
// and returns the status of its answer.
func Once(address string, t Target, lines string, length int, chunked bool) (int, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	body := strings.Repeat("x", length)
	framing := "Content-Length: " + strconv.Itoa(length)
	if chunked {
		const size = 1 << 10
		framing = "Transfer-Encoding: chunked"
		body = strings.Repeat("400\r\n"+strings.Repeat("x", size)+"\r\n", length/size) + "0\r\n\r\n"
	}
	if _, err := io.WriteString(conn, t.begin(&Caller{}, 0)+lines+framing+"\r\n\r\n"+body); err != nil {
		return 0, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(answerTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
