// Command jayfordd is jayford's daemon. The subcommand selects its role: entry,
// agent, gateway or dev.
package main

import (
	"os"

	"jayford.example/jayford/internal/cli"
	adapter "jayford.example/jayford/platform"
)

func main() { os.Exit(cli.Main(os.Args[1:], adapter.RunGateway)) }
