// Package rawjson splits arrays and objects of JSON into their parts, which may be nested to any
// depth: package encoding/json fails a whole document for one part that is nested too deeply.
//
// The array or object itself must be well-formed. Of its parts only the extent is found, in
// linear time and without recursion: decoding a part may still fail.
package rawjson

import (
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Elements calls yield with each element of an array. The elements aren't copied. It returns the
// first error of yield, or one for text that isn't an array; elements before the fault have been
// yielded by then.
func Elements(text []byte, yield func(element []byte) error) error {
	s := scanner{text: text}
	return s.whole('[', ']', func() error {
		element, err := s.value()
		if err != nil {
			return err
		}
		return yield(element)
	})
}

// Members calls yield with each member of an object, in their order and with repeated keys. The
// values aren't copied. Its errors are like those of Elements.
func Members(text []byte, yield func(key string, value []byte) error) error {
	s := scanner{text: text}
	return s.whole('{', '}', func() error {
		key, err := s.key()
		if err != nil {
			return err
		}
		value, err := s.value()
		if err != nil {
			return err
		}
		return yield(key, value)
	})
}

// scanner reads text from position at on.
type scanner struct {
	text []byte
	at   int
}

// whole reads an array or object that is all of the text. part reads one element or member.
func (s *scanner) whole(opening, closing byte, part func() error) error {
	if err := s.expect(opening); err != nil {
		return err
	}
	for first := true; ; first = false {
		if first && s.next() == closing {
			break
		}
		if err := part(); err != nil {
			return err
		}
		if s.next() != ',' {
			break
		}
		s.at++
	}
	if err := s.expect(closing); err != nil {
		return err
	}
	s.skipSpace()
	if s.at < len(s.text) {
		return s.malformed()
	}
	return nil
}

func (s *scanner) malformed() error {
	return eris.Errorf("rawjson: malformed after %d of %d bytes", s.at, len(s.text))
}

func (s *scanner) skipSpace() {
	for s.at < len(s.text) && isSpace(s.text[s.at]) {
		s.at++
	}
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\r' || c == '\n' }

// next skips space and returns the byte behind it, 0 at the end.
func (s *scanner) next() byte {
	s.skipSpace()
	if s.at == len(s.text) {
		return 0
	}
	return s.text[s.at]
}

// expect skips space and the byte c behind it.
func (s *scanner) expect(c byte) error {
	if s.next() != c {
		return s.malformed()
	}
	s.at++
	return nil
}

// key reads the key of a member, and the colon.
func (s *scanner) key() (string, error) {
	if s.next() != '"' {
		return "", s.malformed()
	}
	from := s.at
	if err := s.skipString(); err != nil {
		return "", err
	}
	var key string
	if json.Unmarshal(s.text[from:s.at], &key) != nil {
		return "", s.malformed()
	}
	return key, s.expect(':')
}

// value returns the next value without the space around it.
func (s *scanner) value() ([]byte, error) {
	c := s.next()
	from := s.at
	var err error
	switch c {
	case '"':
		err = s.skipString()
	case '[':
		err = s.skipNested(']')
	case '{':
		err = s.skipNested('}')
	default:
		err = s.skipLiteral()
	}
	return s.text[from:s.at:s.at], err
}

// skipString skips a string, from its opening quote on.
func (s *scanner) skipString() error {
	for i := s.at + 1; i < len(s.text); i++ {
		switch s.text[i] {
		case '\\':
			i++
		case '"':
			s.at = i + 1
			return nil
		}
	}
	return s.malformed()
}

// skipNested skips an array or object, from its opening bracket to the matching one, which must
// be closing.
func (s *scanner) skipNested(closing byte) error {
	depth := 0
	for s.at < len(s.text) {
		c := s.text[s.at]
		if c == '"' {
			if err := s.skipString(); err != nil {
				return err
			}
			continue
		}
		switch c {
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
		if depth == 0 && c != closing {
			break
		}
		s.at++
		if depth == 0 {
			return nil
		}
	}
	return s.malformed()
}

// skipLiteral skips a number, true, false or null.
func (s *scanner) skipLiteral() error {
	from := s.at
	for s.at < len(s.text) && !isSpace(s.text[s.at]) && s.text[s.at] != ',' && s.text[s.at] != ']' && s.text[s.at] != '}' {
		s.at++
	}
	if !json.Valid(s.text[from:s.at]) {
		return s.malformed()
	}
	return nil
}
