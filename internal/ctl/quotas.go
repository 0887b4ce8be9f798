package ctl

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

type quotasCommand struct {
	client    *client
	Operators []string `long:"operator" required:"yes" value-name:"IP:PORT" description:"operator listener of a gateway; may be repeated"`
}

// OrganisationQuota is an organisation's quota, and what was used of it at the gateways
// that were queried since they started.
type OrganisationQuota struct {
	Organisation string  `json:"organisation"`
	PerSecond    float64 `json:"perSecond"`
	Burst        float64 `json:"burst"`
	// Used and Held are in tokens, or in requests if the quota counts these.
	Used    float64 `json:"used"`
	Held    float64 `json:"held"`
	Refused int     `json:"refused"`
	// ListAgeSeconds is the greatest age of a gateway's list of the gateways.
	ListAgeSeconds float64 `json:"listAgeSeconds"`
}

// gatewayDump has the part of a gateway's state dump about quotas.
type gatewayDump struct {
	Quotas map[string]struct {
		PerSecond, Burst, Used, Held, ListAge float64
		Refused                               int
	} `json:"quotas"`
}

// Execute shows the organisations' quotas at the given gateways together.
func (cmd *quotasCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	all := map[string]*OrganisationQuota{}
	err := eachDump(cmd.client, cmd.Operators, func(d gatewayDump) { d.addTo(all) })
	if err != nil {
		return err
	}
	list := slices.SortedFunc(maps.Values(all), func(a, b *OrganisationQuota) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return cmd.client.print(list, func(w io.Writer) error { return writeQuotas(w, list) })
}

// addTo adds what one gateway has to the organisations.
func (d gatewayDump) addTo(all map[string]*OrganisationQuota) {
	for name, q := range d.Quotas {
		o := all[name]
		if o == nil {
			o = &OrganisationQuota{Organisation: name}
			all[name] = o
		}
		o.PerSecond, o.Burst = q.PerSecond, q.Burst
		o.Used, o.Held, o.Refused = o.Used+q.Used, o.Held+q.Held, o.Refused+q.Refused
		o.ListAgeSeconds = max(o.ListAgeSeconds, q.ListAge)
	}
}

// eachDump calls f with the state dump of each process.
func eachDump[T any](c *client, operators []string, f func(T)) error {
	for _, address := range operators {
		answer, err := c.fetch(address, pathDump, nil)
		if err != nil {
			return err
		}
		var dump T
		if err := json.Unmarshal(answer, &dump); err != nil {
			return eris.Wrapf(errInvalid, "%s%s: %v", address, pathDump, err)
		}
		f(dump)
	}
	return nil
}

func writeQuotas(w io.Writer, list []*OrganisationQuota) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ORGANISATION\tPER SECOND\tBURST\tUSED\tHELD\tREFUSED\tLIST AGE (s)") //nolint:errcheck // reported by Flush
	for _, q := range list {
		fmt.Fprintf(table, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%d\t%.1f\n", //nolint:errcheck // reported by Flush
			q.Organisation, q.PerSecond, q.Burst, q.Used, q.Held, q.Refused, q.ListAgeSeconds)
	}
	return table.Flush()
}
