// Command jayfordd is jayford's daemon. Its role is named by the subcommand:
// entry, agent, gateway or dev.
package main

import (
	"os"

	"jayford.example/jayford/internal/cli"
	adapter "jayford.example/jayford/platform"
)

func main() { os.Exit(cli.Main(os.Args[1:], adapter.RunGateway)) }
