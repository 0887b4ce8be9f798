package memory

import (
	"errors"
	"io"
)

// ErrTooLarge is the error of ReadAll for more bytes than it may read.
var ErrTooLarge = errors.New("memory: too large")

const (
	// firstRead is the size of the first buffer of ReadAll in bytes, readGrowth how many times larger
	// the next one is.
	firstRead  = 4 << 10
	readGrowth = 4
)

// ReadAll reads r up to its end, most bytes at the most. length is how many there will be, negative
// if that is unknown; they are charged as they come, not before. Each byte is charged copies times,
// until the claim is closed: for the buffer, and for the copies that will be made of it.
func (c *Claim) ReadAll(r io.Reader, length int64, most, copies int) ([]byte, error) {
	if length > int64(most) {
		return nil, ErrTooLarge
	}
	if length >= 0 {
		most = int(length)
	}
	var b []byte
	for {
		if len(b) == cap(b) && len(b) < most {
			old, larger := cap(b), min(max(firstRead, readGrowth*cap(b)), most)
			if err := c.Grow(int64(copies*larger - (copies-1)*old)); err != nil {
				return nil, err
			}
			b = append(make([]byte, 0, larger), b...)
			c.Shrink(int64(old))
		}
		free := b[len(b):cap(b)]
		if len(free) == 0 {
			// Nothing but the end may follow.
			free = make([]byte, 1)
		}
		n, err := r.Read(free)
		switch {
		case len(b)+n > most:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return b[:len(b)+n], nil
		case err != nil:
			return nil, err
		}
		b = b[:len(b)+n]
	}
}
