package rawjson

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func elements(text string) ([]string, error) {
	out := []string{}
	err := Elements([]byte(text), func(e []byte) error {
		out = append(out, string(e))
		return nil
	})
	return out, err
}

func members(text string) (map[string]string, error) {
	out := map[string]string{}
	err := Members([]byte(text), func(key string, value []byte) error {
		out[key] = string(value)
		return nil
	})
	return out, err
}

func TestPartsAreFound(t *testing.T) {
	list, err := elements(" [ 1 , \"a]\\\"\\\\\" ,[ {\"b\": \"}\"} ],null ,{}\n] ")
	assert.NilError(t, err)
	assert.DeepEqual(t, list, []string{`1`, `"a]\"\\"`, `[ {"b": "}"} ]`, `null`, `{}`})
	list, err = elements(`[]`)
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0)
	object, err := members(`{"a":1,"\u0062":[2], "c" : "x", "a":3}`)
	assert.NilError(t, err)
	assert.DeepEqual(t, object, map[string]string{"a": "3", "b": "[2]", "c": `"x"`})
}

// Guards against a part that is nested deeper than the JSON package decodes hiding its neighbours.
func TestDepthHasNoLimit(t *testing.T) {
	const levels = 1_000_000
	for _, brackets := range []string{"[]", "{}"} {
		deep := strings.Repeat(brackets[:1], levels) + strings.Repeat(brackets[1:], levels)
		list, err := elements("[" + deep + ",2]")
		assert.NilError(t, err)
		assert.Equal(t, len(list), 2)
		assert.Equal(t, list[0], deep)
	}
}

func TestMalformedTextIsAnError(t *testing.T) {
	for _, text := range []string{
		``, ` `, `[`, `]`, `[1`, `[1,`, `[1,]`, `[,1]`, `[1 2]`, `[1]]`, `[1],`, `{}`, `null`, `["a]`, `["a\"]`, `[[}]`, `[[1]`, `[tru]`, `[1}`, `[01]`, `[{]`,
	} {
		_, err := elements(text)
		assert.Assert(t, err != nil, text)
	}
	for _, text := range []string{
		``, `{`, `{"a"}`, `{"a":}`, `{"a":1`, `{"a":1,}`, `{,}`, `{a:1}`, `{"a" 1}`, `{"a":1 "b":2}`, `{"a":1}}`, `[]`, `{1:2}`, "{\"\x01\":2}", `{"a":[}}`,
	} {
		_, err := members(text)
		assert.Assert(t, err != nil, text)
	}
}

func TestErrorOfTheCallerEndsTheSplit(t *testing.T) {
	n := 0
	err := Elements([]byte(`[1,2,3]`), func([]byte) error {
		n++
		return json.Unmarshal([]byte(`x`), new(int))
	})
	assert.ErrorContains(t, err, "invalid character")
	assert.Equal(t, n, 1)
}

// isSplit reports whether split splits text into valid parts.
func isSplit(split func(yield func(part []byte) error) error) bool {
	return split(func(part []byte) error {
		if !json.Valid(part) {
			return errors.New("invalid part")
		}
		return nil
	}) == nil
}

// checkSplit compares the split of text with what the JSON package makes of it: the same parts,
// and what isn't valid is an error or has an invalid part.
func checkSplit(t interface{ Fatalf(string, ...any) }, text []byte) {
	var wantList []json.RawMessage
	isList := json.Unmarshal(text, &wantList) == nil && wantList != nil
	if isList != isSplit(func(yield func([]byte) error) error { return Elements(text, yield) }) {
		t.Fatalf("%q is an array: %t", text, isList)
	}
	var wantObject map[string]json.RawMessage
	isObject := json.Unmarshal(text, &wantObject) == nil && wantObject != nil
	if isObject != isSplit(func(yield func([]byte) error) error {
		return Members(text, func(_ string, value []byte) error { return yield(value) })
	}) {
		t.Fatalf("%q is an object: %t", text, isObject)
	}
	if isList {
		list, _ := elements(string(text))
		checkParts(t, len(list) == len(wantList), func(i int) bool { return list[i] == string(wantList[i]) }, len(list), text)
	}
	if isObject {
		object, _ := members(string(text))
		keys := slices.Collect(maps.Keys(object))
		checkParts(t, len(object) == len(wantObject), func(i int) bool { return object[keys[i]] == string(wantObject[keys[i]]) }, len(keys), text)
	}
}

func checkParts(t interface{ Fatalf(string, ...any) }, complete bool, same func(i int) bool, n int, text []byte) {
	if !complete {
		t.Fatalf("%q was split into %d parts", text, n)
	}
	for i := range n {
		if !same(i) {
			t.Fatalf("%q: wrong part %d", text, i)
		}
	}
}

// Guards against a split that differs from the JSON package's, by which an entry could take parts
// of its neighbours.
func TestSplitAgreesWithTheJSONPackage(t *testing.T) {
	pieces := []string{`[`, `]`, `{`, `}`, `"`, `\`, `,`, `:`, ` `, "\n", `1`, `-2.5e3`, `true`, `null`, `"a"`, `"\""`, `"b":`, `[1,2]`, `{"c":[]}`, "\xff", "\x00"}
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 20).Draw(t, "pieces")
		checkSplit(t, []byte(strings.Join(text, "")))
	})
}

func FuzzSplit(f *testing.F) {
	for _, text := range []string{`[]`, `{}`, `[1,"a",[{}],null]`, `{"a":[1],"b":{"c":"}"}}`, `[[[[`, `["\\\"",]`, `{"a":1,"a":2}`, "{\"\xff\":1}"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) { checkSplit(t, text) })
}
