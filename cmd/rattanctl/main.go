// Command rattanctl checks and edits rattanwood's configuration documents, on the command line or
// with web forms. It publishes nothing itself.
package main

import (
	"os"

	"example.org/rattanwood/internal/cli"
)

func main() {
	os.Exit(cli.Console(os.Args[1:]))
}
