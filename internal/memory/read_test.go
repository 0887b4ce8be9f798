package memory

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against bytes that are lost, or held without being charged, as a buffer grows.
func TestReadAllChargesWhatItHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(0, 300_000).Draw(t, "size")
		length := rapid.SampledFrom([]int64{-1, int64(size)}).Draw(t, "length")
		most := size + rapid.IntRange(0, 10_000).Draw(t, "spare")
		copies := rapid.IntRange(1, 3).Draw(t, "copies")
		text := bytes.Repeat([]byte("a"), size)
		pool := NewArriving(16<<20, time.Now)
		c := pool.Open(func() {})
		got, err := c.ReadAll(iotest.HalfReader(bytes.NewReader(text)), length, most, copies)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, text))
		assert.Equal(t, c.Bytes(), int64(copies*cap(got)))
		c.Close()
		assert.Equal(t, pool.Used(), int64(0))
	})
}

// Guards against sources without end, and against memory for what was announced and doesn't come.
func TestReadAllIsBounded(t *testing.T) {
	const most = 1 << 20
	pool := NewArriving(16<<20, time.Now)
	read := func(r io.Reader, length int64) (int64, error) {
		c := pool.Open(func() {})
		defer c.Close()
		_, err := c.ReadAll(r, length, most, 2)
		return c.Bytes(), err
	}
	_, err := read(endless{}, -1)
	assert.ErrorIs(t, err, ErrTooLarge)
	charged, err := read(endless{}, most+1)
	assert.ErrorIs(t, err, ErrTooLarge)
	assert.Equal(t, charged, int64(0))
	_, err = read(endless{}, 10)
	assert.ErrorIs(t, err, ErrTooLarge)
	cut := errors.New("cut")
	charged, err = read(iotest.ErrReader(cut), most)
	assert.ErrorIs(t, err, cut)
	assert.Assert(t, charged <= 2*firstRead, "%d", charged)
	c := pool.Open(func() {})
	defer c.Close()
	_, err = c.ReadAll(endless{}, -1, 1<<30, 2)
	assert.ErrorIs(t, err, ErrFull)
	assert.Assert(t, pool.Used() <= 16<<20)
}

type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }
