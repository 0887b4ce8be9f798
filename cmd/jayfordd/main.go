// Command jayfordd is jayford's daemon. Its role is named by the subcommand:
// entry, agent or dev.
package main

import (
	"os"

	"jayford.example/jayford/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:])) }
