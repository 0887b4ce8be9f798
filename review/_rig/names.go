package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireText []byte

// wire has the platform's names, which stay out of Go files outside of the adapter.
var wire = readNames()

type names struct {
	// Headers.
	RequestID, Deadline, Seal, Instance, ExpectInstance string
	// Fields of routes and of servers' entries.
	PathPrefix, LatencyObjective, Resume, ColdRemaining string
}

func readNames() names {
	var n names
	if err := json.Unmarshal(wireText, &n); err != nil {
		panic(err)
	}
	return n
}
