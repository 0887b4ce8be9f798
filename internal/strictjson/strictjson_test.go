package strictjson

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

type inner struct {
	Count uint8 `json:"count"`
}

type outer struct {
	inner                    // embedded fields count as the outer struct's own
	Name   string            `json:"name"`
	Labels map[string]string `json:"labels"`
	List   []inner           `json:"list"`
	Maybe  *inner            `json:"maybe"`
	Raw    json.RawMessage   `json:"raw"`
	Later  Deferred          `json:"later"`
	Plain  float64           `json:"plain"`
	hidden int
}

func TestParseFillsEachKind(t *testing.T) {
	var o outer
	d := Parse("f", []byte(`{"name":"n","labels":{"a":"b"},"list":[{"count":1}],"maybe":{"count":2},
"raw":[1, /* two */ 2],"later":{"count":3},"plain":1.5,}`), &o)
	assert.NilError(t, d.Err())
	assert.Equal(t, o.Labels["a"], "b")
	assert.Equal(t, o.List[0].Count, uint8(1))
	assert.Equal(t, o.Maybe.Count, uint8(2))
	assert.Equal(t, string(o.Raw), "[1,2]")
	assert.Assert(t, o.Later.IsSet())
	var in inner
	d.Resolve(o.Later, &in)
	assert.Equal(t, in.Count, uint8(3))
	assert.Equal(t, d.Line("later.count"), 2)
	assert.Equal(t, d.Line("later.count.none"), 2)
	assert.Equal(t, o.hidden, 0)
}

func TestProblemsNameLineAndKey(t *testing.T) {
	var o outer
	d := Parse("f", []byte(`{
"count": 256,
"name": null,
"Name": "x",
"labels": {"a": 1, "a": "b"},
"list": [{"count": 1}, {"count": -1}, 7],
"maybe": [], "hidden": 1,
"plain": "1"}`), &o)
	d.Positive("plain", 0, 1) // already reported
	want := `f:2: count: expected a whole number of 0 to 255
f:3: name: expected a string
f:4: Name: unknown key, expected one of count, labels, later, list, maybe, name, plain, raw
f:5: labels.a: expected a string
f:5: labels.a: repeated key, expected it once
f:6: list[1].count: expected a whole number of 0 to 255
f:6: list[2]: expected an object
f:7: maybe: expected an object
f:7: hidden: unknown key, expected one of count, labels, later, list, maybe, name, plain, raw
f:8: plain: expected a number`
	assert.Error(t, d.Err(), want)
	assert.Assert(t, d.RejectedWithin("list"))
	assert.Assert(t, !d.RejectedWithin("lis"))
}

func TestChecks(t *testing.T) {
	for address, want := range map[string]bool{
		"127.0.0.1:80": true, "[::1]:80": true, "localhost:80": false, "127.0.0.1": false, "127.0.0.1:0": false, "": false,
	} {
		assert.Equal(t, IsAddress(address, false), want, address)
	}
	for id, want := range map[string]bool{"a-1.b": true, "": false, "-a": false, "a b": false, "a/b": false} {
		assert.Equal(t, IsID(id), want, id)
	}
}
