//go:build review2

package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(*world){"upload": upload, "orders": ordersByItem, "failing": failing, "lookups": lookups}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER")
		os.Exit(2)
	}
	cases[os.Args[1]](newWorld(os.Args[2]))
}
