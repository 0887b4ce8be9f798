package slopes

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/platform"
)

// Size of the system for which the limits are set.
const (
	fullEntries       = 370
	fullServers       = 1100
	fullOrganisations = 220
	fullModels        = 13
	fullZones         = 11
	// fullFollowers is the number of processes that follow one watching entry.
	fullFollowers = (fullEntries + fullServers) / (2 * fullZones)
)

// fleet describes a simulated system.
type fleet struct {
	servers, organisations, models int
	// address is the address of all agents.
	address string
	// entries is the number of entries listed in availability zones other than
	// the bench's.
	entries int
}

func fullFleet(address string) fleet {
	return fleet{fullServers, fullOrganisations, fullModels, address, fullEntries}
}

func modelName(i int) string { return fmt.Sprintf("model-%02d", i) }

func serverName(i int) string { return fmt.Sprintf("server-%04d", i) }

// benchZone is the availability zone of the processes under measurement.
const benchZone = "zone-00"

func zoneName(i int) string { return fmt.Sprintf("zone-%02d", i%fullZones) }

func regionOf(zone int) string { return fmt.Sprintf("region-%d", zone%fullZones%3) }

func marshal(kind, name string, spec any) platform.Object {
	text, err := json.Marshal(spec)
	if err != nil {
		// Specs are built in this package and can always be encoded.
		panic(err)
	}
	return platform.Object{Kind: kind, Name: name, Spec: text, Operation: platform.NewOperation()}
}

// serverVersion is the version of all servers.
const serverVersion = "2026-11"

// roleOf returns the role of server i: prefill for every third server of a model,
// otherwise decode.
func (f fleet) roleOf(i int) string {
	if i/f.models%3 == 0 {
		return object.RolePrefill
	}
	return object.RoleDecode
}

func (f fleet) objects() []platform.Object {
	var out []platform.Object
	for i := range f.servers {
		out = append(out, marshal(object.KindServer, serverName(i), object.Server{Format: object.Format, Labels: map[string]string{
			object.LabelModel: modelName(i % f.models), object.LabelRole: f.roleOf(i),
			object.LabelVersion: serverVersion, object.LabelGroup: "general",
		}}))
	}
	for i := range f.organisations {
		name := fmt.Sprintf("organisation-%03d", i)
		out = append(out, marshal(object.KindOrganisation, name, object.Organisation{Format: object.Format, Share: 1}))
	}
	for i := range f.models {
		m := modelName(i)
		labels := func(role string) map[string]string {
			return map[string]string{object.LabelModel: m, object.LabelRole: role}
		}
		out = append(out, marshal(object.KindPool, m, object.Pool{
			Format: object.Format, Model: m, Prefill: labels(object.RolePrefill), Decode: labels(object.RoleDecode),
		}), marshal(object.KindSelector, m, object.Selector{
			Format: object.Format, Order: 10, Match: object.Match{Models: []string{m}},
			Targets: []object.Target{{Pool: m, Weight: 1}},
		}))
	}
	return out
}

// addressOf returns f.address or, if that is deadAddress, one of many addresses
// without a listener: a list with a single address would compress too well.
func (f fleet) addressOf(i int) string {
	if f.address != deadAddress {
		return f.address
	}
	h := xxhash.Sum64String(serverName(i))
	return fmt.Sprintf("127.%d.%d.%d:%d", h>>8&0xff, h>>16&0xff, 1+h>>24&0x7f, 1+h>>32&0x3ff)
}

func (f fleet) instances() []platform.Instance {
	var out []platform.Instance
	for i := range f.servers {
		out = append(out, platform.Instance{
			ID: serverName(i), Address: f.addressOf(i), Role: "agent",
			AvailabilityZone: zoneName(i), Region: regionOf(i), State: platform.Live,
		})
	}
	for i := range f.entries {
		zone := 1 + i%(fullZones-1)
		out = append(out, platform.Instance{
			ID: fmt.Sprintf("far-entry-%03d", i), Address: f.addressOf(f.servers + i), Role: "entry",
			AvailabilityZone: zoneName(zone), Region: regionOf(zone), State: platform.Live,
		})
	}
	return out
}
