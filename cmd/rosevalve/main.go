// Program rosevalve runs a router or sends operators' commands to routers.
package main

import (
	"context"
	"os"

	"rosevalve/internal/cmd/rosevalve"
)

func main() {
	os.Exit(rosevalve.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
