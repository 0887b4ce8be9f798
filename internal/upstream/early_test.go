package upstream

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/standin/broken"
)

// uploadSizes are below and above what the buffers of all sockets on the way hold.
var uploadSizes = []int{1, 100 << 10, 1 << 20, 16 << 20}

// resetDelays is how long after its answer a server resets the connection.
var resetDelays = []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond}

// Guards against a part of a body being taken for all of it, as the server answered before it had
// read the request and reset the connection while that was still being written: a write that fails
// takes the error from the socket, and a read behind it would end like the end of a body.
func TestEarlyResponseThatIsReset(t *testing.T) {
	for _, size := range uploadSizes {
		for _, delay := range resetDelays {
			t.Run(fmt.Sprint(size, " ", delay), func(t *testing.T) {
				t.Parallel()
				l := broken.ServeEarly(t, "a part", delay)
				p := newPool()
				for range 8 {
					r := request("1")
					r.Body = make([]byte, size)
					resp, err := p.Do(t.Context(), l.Addr().String(), r)
					var e *Error
					if err != nil {
						assert.Assert(t, errors.As(err, &e) && e.Sent, "%v", err)
						continue
					}
					body, err := io.ReadAll(resp.Body)
					assert.Assert(t, err != nil, "%q counts as complete", body)
					assert.NilError(t, resp.Body.Close())
				}
			})
		}
	}
}
