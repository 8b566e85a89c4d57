// Program rosevalve-standin runs small stand-ins for the systems around the routers.
package main

import (
	"context"
	"os"

	"rosevalve/internal/cmd/standin"
)

func main() {
	os.Exit(standin.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
