// Package hangup catches the SIGHUPs of a gateway from the start of its process.
//
// A SIGHUP may be sent as soon as the process exists, and ends it unless it is caught.
// The initialisation of all packages takes about ten milliseconds. This package depends
// on a few of the standard library only, so it is initialised before most others.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// GatewayRole is the subcommand of gateways. Other roles are ended by a SIGHUP.
const GatewayRole = "gateway"

var caught = make(chan os.Signal, 1)

func init() {
	if len(os.Args) > 1 && os.Args[1] == GatewayRole {
		Catch()
	}
}

// Catch returns a channel that gets the process's SIGHUPs from now on, or from its start
// in a gateway. There is no signal.Stop: a SIGHUP during shutdown would then abort
// requests.
func Catch() <-chan os.Signal {
	signal.Notify(caught, syscall.SIGHUP)
	return caught
}
