// Command rattanwood runs one balancer of a layer-4 load balancer, checks a settings file or prints the state
// of a running balancer.
package main

import (
	"os"

	"example.org/rattanwood/internal/cli"
)

func main() {
	os.Exit(cli.Balancer(os.Args[1:]))
}
