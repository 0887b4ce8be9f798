// Package strictjson decodes JSON with comments into Go structs. It rejects
// unknown and repeated keys and values of the wrong type, and reports all
// problems with their line numbers instead of stopping at the first.
package strictjson

import (
	"bytes"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Problem is one fault in a file.
type Problem struct {
	File string
	// Line counts from 1.
	Line int
	// Key is the path of the value, such as "limits.maxQueue" or "seeds[0]".
	Key string
	// Expected describes a valid value.
	Expected string
}

// Error returns "FILE:LINE: KEY: what is expected".
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Expected)
}

// Problems is the error for an invalid file. It has at least one element.
type Problems []Problem

// Error joins the problems by newlines.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Document is a parsed file with the line number of each key.
type Document struct {
	file     string
	text     []byte
	lines    map[string]int
	problems Problems
}

// Keys of problems that don't belong to a single key.
const (
	keySyntax = "syntax"
	keyRoot   = "file"
)

// Parse decodes text into the struct, slice or map that into points to. Fields
// whose keys are missing from the text keep their values. Problems are collected
// in the document, so that the caller can add its own checks before calling Err.
func Parse(file string, text []byte, into any) *Document {
	d := &Document{file: file, text: text, lines: map[string]int{}}
	// hujson retains parts of its input, so it gets a copy.
	root, err := hujson.Parse(bytes.Clone(text))
	if err != nil {
		d.syntax(err)
		return d
	}
	d.decode("", root, into)
	return d
}

var linePattern = regexp.MustCompile(`line (\d+)`)

func (d *Document) syntax(err error) {
	line := 1
	if m := linePattern.FindStringSubmatch(err.Error()); m != nil {
		if n, convErr := strconv.Atoi(m[1]); convErr == nil {
			line = n
		}
	}
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	d.add(line, keySyntax, "expected JSON with comments: %s", message)
}

// Line returns the line of key, or of its nearest enclosing key that is present.
func (d *Document) Line(key string) int {
	for key != "" {
		if n, ok := d.lines[key]; ok {
			return n
		}
		i := strings.LastIndexAny(key, ".[")
		if i < 0 {
			break
		}
		key = key[:i]
	}
	if n, ok := d.lines[""]; ok {
		return n
	}
	return 1
}

// Has reports whether key is present and was decoded, or rejected for its value.
func (d *Document) Has(key string) bool {
	_, ok := d.lines[key]
	return ok
}

// Reject adds a problem for key, unless key already has one.
func (d *Document) Reject(key, expected string, args ...any) {
	if d.Rejected(key) {
		return
	}
	d.add(d.Line(key), key, expected, args...)
}

// Rejected reports whether key itself has a problem.
func (d *Document) Rejected(key string) bool {
	for _, p := range d.problems {
		if p.Key == key {
			return true
		}
	}
	return false
}

// RejectedWithin reports whether key or a key below it has a problem.
func (d *Document) RejectedWithin(key string) bool {
	for _, p := range d.problems {
		rest, within := strings.CutPrefix(p.Key, key)
		if within && (rest == "" || rest[0] == '.' || rest[0] == '[') {
			return true
		}
	}
	return false
}

// Err returns the Problems sorted by line, or nil if there are none.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	sorted := slices.Clone(d.problems)
	slices.SortStableFunc(sorted, func(a, b Problem) int { return a.Line - b.Line })
	return sorted
}

func (d *Document) add(line int, key, expected string, args ...any) {
	if key == "" {
		key = keyRoot
	}
	p := Problem{File: d.file, Line: line, Key: key, Expected: fmt.Sprintf(expected, args...)}
	d.problems = append(d.problems, p)
}

func (d *Document) lineAt(offset int) int {
	offset = min(max(offset, 0), len(d.text))
	return 1 + bytes.Count(d.text[:offset], []byte{'\n'})
}
