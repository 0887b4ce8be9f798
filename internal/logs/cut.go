package logs

import (
	"fmt"
	"strings"

	"github.com/sirupsen/logrus"
)

const (
	// maxLineBytes bounds a line whose fields are all written whole. In a longer one each
	// field and the message have at most maxFieldBytes.
	maxLineBytes  = 8 << 10
	maxFieldBytes = 1 << 10
)

// cutLine returns a copy of a line whose message and fields are cut.
func cutLine(e *logrus.Entry) *logrus.Entry {
	out := e.Dup()
	out.Level, out.Message, out.Caller = e.Level, cut(e.Message), e.Caller
	for key, value := range out.Data {
		out.Data[key] = cutField(value)
	}
	return out
}

func cutField(value any) any {
	if text := fmt.Sprint(value); len(text) > maxFieldBytes {
		return cut(text)
	}
	return value
}

// cut returns the start of a text that is longer than maxFieldBytes, with whole characters.
func cut(text string) string {
	if len(text) <= maxFieldBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxFieldBytes], "") + "..."
}
