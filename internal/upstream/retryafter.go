package upstream

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// maxRetryAfter bounds a Retry-After, so that its end is a valid time.
const maxRetryAfter = 24 * time.Hour

// ParseRetryAfter returns the time in a Retry-After header, which is in seconds or a date,
// and whether the header is valid. An empty one is a valid 0.
func ParseRetryAfter(text string) (time.Duration, bool) {
	if text == "" {
		return 0, true
	}
	if at, err := http.ParseTime(text); err == nil {
		return max(0, min(time.Until(at), maxRetryAfter)), true
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || seconds < 0 || math.IsNaN(seconds) {
		return 0, false
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second)), true
}
