// Command jayfordd.
package main

import "net"

func main() { _ = net.IPv4len }
