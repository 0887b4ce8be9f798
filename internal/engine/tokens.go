package engine

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// CacheBlock is the granularity of prefix caches, in tokens.
const CacheBlock = 256

// CountTokens returns the number of tokens of prompt. Each word counts as one.
func CountTokens(prompt string) int {
	n := 0
	for range strings.FieldsSeq(prompt) {
		n++
	}
	return n
}

// PrefixHash returns the hash of the prompt's first tokens, or of the whole prompt
// if it is shorter: the xxhash of its words, each followed by a space. Cache events
// and all prefix indexes must use this hash, or lookups by it would never match.
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

// addWord hashes a word and a space. The space distinguishes "ab c" from "a bc".
func addWord(d *xxhash.Digest, w string) {
	_, _ = d.WriteString(w)
	_, _ = d.WriteString(" ")
}
