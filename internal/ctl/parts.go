package ctl

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/operator"
)

type partsCommand struct {
	client    *client
	Operators []string `long:"operator" required:"yes" value-name:"IP:PORT" description:"operator listener of a gateway; may be repeated"`
	Clear     string   `long:"clear" value-name:"HASH" description:"take back what is held against this part, at all gateways"`
	Reason    string   `long:"reason" value-name:"TEXT" description:"why it is cleared; it is logged"`
}

// RefusedPart is a part of prompts that is suspected of crashing servers, or refused for it, as
// seen by the gateways that were queried.
type RefusedPart struct {
	Hash  string `json:"hash"`
	ID    string `json:"id,omitempty"`
	Model string `json:"model,omitempty"`
	// Refused has the parts that a prompt must have to be refused, none if none is.
	Refused []string `json:"refused"`
	// Gateways is how many of those queried refuse such prompts.
	Gateways int `json:"gateways"`
	// Since and Last are the times of the first and the last loss that count, Until when the
	// refusal ends, or the record if there is none.
	Since time.Time `json:"since"`
	Last  time.Time `json:"last"`
	Until time.Time `json:"until"`
	// Crashes are in sequence, of so many different Requests.
	Crashes  int `json:"crashes"`
	Requests int `json:"requests"`
}

// partsDump has the part of a gateway's state dump about parts of prompts.
type partsDump struct {
	Parts []struct {
		Hash, ID, Model string
		Refused         []string
		Evidence        struct {
			Since, Last, Until time.Time
			Crashes, Requests  int
		}
	} `json:"parts"`
}

// Execute shows the parts, or clears one.
func (cmd *partsCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if cmd.Clear != "" || cmd.Reason != "" {
		return cmd.clear()
	}
	all := map[string]*RefusedPart{}
	if err := eachDump(cmd.client, cmd.Operators, func(d partsDump) { d.addTo(all) }); err != nil {
		return err
	}
	list := slices.SortedFunc(maps.Values(all), func(a, b *RefusedPart) int {
		return cmp.Or(cmp.Compare(b.Gateways, a.Gateways), b.Last.Compare(a.Last), cmp.Compare(a.Hash, b.Hash))
	})
	return cmd.client.print(list, func(w io.Writer) error { return writeParts(w, list) })
}

// addTo adds what one gateway has.
func (d partsDump) addTo(all map[string]*RefusedPart) {
	for _, x := range d.Parts {
		p := all[x.Hash]
		if p == nil {
			p = &RefusedPart{Hash: x.Hash, Since: x.Evidence.Since}
			all[x.Hash] = p
		}
		p.ID, p.Model = cmp.Or(p.ID, x.ID), cmp.Or(p.Model, x.Model)
		if len(x.Refused) > 0 {
			p.Gateways++
			p.Refused = x.Refused
		}
		if x.Evidence.Since.Before(p.Since) {
			p.Since = x.Evidence.Since
		}
		if x.Evidence.Last.After(p.Last) {
			p.Last, p.Until = x.Evidence.Last, x.Evidence.Until
		}
		p.Crashes, p.Requests = max(p.Crashes, x.Evidence.Crashes), max(p.Requests, x.Evidence.Requests)
	}
}

func writeParts(w io.Writer, list []*RefusedPart) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "HASH\tPART\tMODEL\tREFUSED WITH\tGATEWAYS\tCRASHES\tREQUESTS\tSINCE\tUNTIL") //nolint:errcheck // reported by Flush
	for _, p := range list {
		with := "not refused"
		if len(p.Refused) > 0 {
			with = strings.Join(p.Refused, " and ")
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\n", //nolint:errcheck // reported by Flush
			p.Hash, cmp.Or(p.ID, "unknown"), p.Model, with, p.Gateways, p.Crashes, p.Requests,
			p.Since.UTC().Format(time.RFC3339), p.Until.UTC().Format(time.RFC3339))
	}
	return table.Flush()
}

// clear orders each given gateway to clear the part. They tell the others.
func (cmd *partsCommand) clear() error {
	if cmd.Clear == "" || strings.TrimSpace(cmd.Reason) == "" {
		return eris.Wrap(errUsage, "--clear and --reason belong together")
	}
	cleared := 0
	for _, address := range cmd.Operators {
		answer, err := cmd.client.post(address, operator.PathClearPart, url.Values{"part": {cmd.Clear}, "reason": {cmd.Reason}})
		if err != nil {
			return err
		}
		var out struct{ Cleared bool }
		if err := json.Unmarshal(answer, &out); err != nil {
			return eris.Wrapf(errInvalid, "%s%s: %v", address, operator.PathClearPart, err)
		}
		if out.Cleared {
			cleared++
		}
	}
	if cleared == 0 {
		return eris.Wrapf(errInvalid, "nothing is held against part %s", cmd.Clear)
	}
	return cmd.client.print(struct{ Cleared int }{cleared}, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "cleared at %d of %d gateways; they tell the others\n", cleared, len(cmd.Operators))
		return err
	})
}
