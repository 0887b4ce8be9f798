package ctl

import (
	"time"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/identity"
)

type keysCommand struct {
	Directory string `long:"directory" required:"true" value-name:"DIR" description:"directory of the certificate authority's files"`
	Authority bool   `long:"authority" description:"create the certificate authority itself; never overwrites one"`
	Role      string `long:"role" choice:"entry" choice:"agent" description:"role of the process"`
	ID        string `long:"id" description:"instance ID of the process"`
	// Life is the validity period of the issued certificate.
	Life time.Duration `long:"life" default:"720h" description:"how long the certificate is valid"`
}

// Execute creates a certificate authority, or a certificate and key for one
// process.
func (cmd *keysCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if cmd.Authority {
		return identity.NewAuthority(cmd.Directory, cmd.Life)
	}
	if cmd.Role == "" || cmd.ID == "" {
		return eris.Wrap(errUsage, "expected --role and --id, or --authority")
	}
	return identity.Issue(cmd.Directory, cmd.Role, cmd.ID, cmd.Life)
}
