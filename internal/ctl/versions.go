package ctl

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

type versionsCommand struct {
	client    *client
	Operators []string `long:"operator" required:"yes" value-name:"IP:PORT" description:"operator listener of a gateway; may be repeated"`
}

// ServiceVersions are the software versions of a service's servers, and the streams that were
// resumed, or couldn't be, at the gateways that were queried since they started.
type ServiceVersions struct {
	Service string `json:"service"`
	// Servers has the number of servers by version, as the gateway lists them that was
	// queried last; 0 for a version that served lately.
	Servers map[string]int `json:"servers"`
	// Streams counts resumptions by way and outcome.
	Streams map[string]int `json:"streams"`
}

// softwareDump has the part of a gateway's state dump about software versions.
type softwareDump struct {
	Versions struct {
		Versions []struct {
			Service, Software string
			Servers           int
		}
		Streams map[string]map[string]int
	} `json:"versions"`
}

// Execute shows the software versions of all services at the given gateways together.
func (cmd *versionsCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	all := map[string]*ServiceVersions{}
	err := eachDump(cmd.client, cmd.Operators, func(d softwareDump) { d.addTo(all) })
	if err != nil {
		return err
	}
	list := slices.SortedFunc(maps.Values(all), func(a, b *ServiceVersions) int { return cmp.Compare(a.Service, b.Service) })
	return cmd.client.print(list, func(w io.Writer) error { return writeVersions(w, list) })
}

// addTo adds what one gateway has to the services.
func (d softwareDump) addTo(all map[string]*ServiceVersions) {
	of := func(name string) *ServiceVersions {
		if all[name] == nil {
			all[name] = &ServiceVersions{Service: name, Servers: map[string]int{}, Streams: map[string]int{}}
		}
		return all[name]
	}
	for _, v := range d.Versions.Versions {
		of(v.Service).Servers[v.Software] = v.Servers
	}
	for name, counts := range d.Versions.Streams {
		for outcome, n := range counts {
			of(name).Streams[outcome] += n
		}
	}
}

func writeVersions(w io.Writer, list []*ServiceVersions) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVICE\tVERSION OR RESUMPTIONS\tNUMBER") //nolint:errcheck // reported by Flush
	for _, s := range list {
		for _, name := range slices.Sorted(maps.Keys(s.Servers)) {
			fmt.Fprintf(table, "%s\tservers of %q\t%d\n", s.Service, name, s.Servers[name]) //nolint:errcheck // reported by Flush
		}
		for _, outcome := range slices.Sorted(maps.Keys(s.Streams)) {
			fmt.Fprintf(table, "%s\tresumptions, %s\t%d\n", s.Service, outcome, s.Streams[outcome]) //nolint:errcheck // reported by Flush
		}
	}
	return table.Flush()
}
