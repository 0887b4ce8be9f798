package ctl

import (
	"time"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/identity"
)

type keysCommand struct {
	Directory string `long:"directory" required:"true" value-name:"DIR" description:"where the authority's files are"`
	Authority bool   `long:"authority" description:"make the authority itself; never overwrites"`
	Role      string `long:"role" choice:"entry" choice:"agent" description:"role of the process"`
	ID        string `long:"id" description:"instance id of the process"`
	// Life of what is issued.
	Life time.Duration `long:"life" default:"720h" description:"how long the certificate is valid"`
}

// Execute makes an authority, or a certificate and key for one process.
func (cmd *keysCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if cmd.Authority {
		return identity.NewAuthority(cmd.Directory, cmd.Life)
	}
	if cmd.Role == "" || cmd.ID == "" {
		return eris.Wrap(errUsage, "--role and --id are needed, or --authority")
	}
	return identity.Issue(cmd.Directory, cmd.Role, cmd.ID, cmd.Life)
}
