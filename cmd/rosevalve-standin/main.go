// Program rosevalve-standin runs stand-ins for the systems that routers depend on and for
// their callers, for tests, demonstrations and measurements.
package main

import (
	"context"
	"os"

	"rosevalve/internal/cmd/standin"
)

func main() {
	os.Exit(standin.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
