package settings

import (
	"encoding/json"
	"errors"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/strictjson"
)

// MaxFileBytes is the maximum size of a settings file.
const MaxFileBytes = 1 << 20

var errDuration = errors.New(`expected a duration with its unit, such as "250ms", "10s" or "5m"`)

// String returns the duration in Go's notation.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON writes the duration as a string in Go's notation.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON reads a string in Go's notation. It rejects a bare number, whose
// unit would be ambiguous.
func (d *Duration) UnmarshalJSON(text []byte) error {
	var s string
	if json.Unmarshal(text, &s) != nil {
		return errDuration
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errDuration
	}
	*d = Duration(v)
	return nil
}

// LoadEntry reads and validates the settings of the role entry on top of its
// defaults. For an invalid file the error is strictjson.Problems, which lists
// all faults.
func LoadEntry(path string) (Entry, error) {
	text, err := readFile(path)
	if err != nil {
		return Entry{}, err
	}
	return ParseEntry(path, text)
}

// LoadAgent reads and validates the settings of the role agent on top of its
// defaults. For an invalid file the error is strictjson.Problems, which lists
// all faults.
func LoadAgent(path string) (Agent, error) {
	text, err := readFile(path)
	if err != nil {
		return Agent{}, err
	}
	return ParseAgent(path, text)
}

// ParseEntry is like LoadEntry for text already read; file is the name used in
// problems.
func ParseEntry(file string, text []byte) (Entry, error) {
	e := DefaultEntry()
	d := strictjson.Parse(file, text, &e)
	checkEntry(d, e)
	if err := d.Err(); err != nil {
		return Entry{}, err
	}
	return e, nil
}

// ParseAgent is like LoadAgent for text already read; file is the name used in
// problems.
func ParseAgent(file string, text []byte) (Agent, error) {
	a := DefaultAgent()
	d := strictjson.Parse(file, text, &a)
	checkAgent(d, a)
	if err := d.Err(); err != nil {
		return Agent{}, err
	}
	return a, nil
}

func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	if info.Size() > MaxFileBytes {
		return nil, strictjson.Problems{{File: path, Line: 1, Key: "file", Expected: "expected at most 1 MB"}}
	}
	text, err := os.ReadFile(path)
	return text, eris.Wrap(err, "settings")
}
