package engine

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// CacheBlock is the granularity of prefix caches, in tokens.
const CacheBlock = 256

// CountTokens returns the number of tokens of prompt: its words.
func CountTokens(prompt string) int {
	n := 0
	for range strings.FieldsSeq(prompt) {
		n++
	}
	return n
}

// PrefixHash returns the hash of the prompt's first tokens, or of the whole
// prompt if it is shorter: the xxhash of its words, each with a space behind it.
// It names a prefix in cache events and in each index of them. There is no other
// hash of prefixes: an index by a second one never finds what an event names.
func PrefixHash(prompt string, tokens int) uint64 {
	d := xxhash.New()
	n := 0
	for w := range strings.FieldsSeq(prompt) {
		if n == tokens {
			break
		}
		addWord(d, w)
		n++
	}
	return d.Sum64()
}

// PrefixHashes returns PrefixHash at each whole multiple of block tokens, in
// one pass over the prompt.
func PrefixHashes(prompt string, block int) []uint64 {
	var out []uint64
	d := xxhash.New()
	n := 0
	for w := range strings.FieldsSeq(prompt) {
		addWord(d, w)
		n++
		if n%block == 0 {
			out = append(out, d.Sum64())
		}
	}
	return out
}

// addWord hashes a word. A word holds no space, so the one behind it keeps
// "ab c" apart from "a bc".
func addWord(d *xxhash.Digest, w string) {
	_, _ = d.WriteString(w)
	_, _ = d.WriteString(" ")
}
