//go:build review

package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(*world){"upload": upload, "crowded": crowded, "failing": failing, "orders": ordersByItem, "paragraphs": paragraphs, "lookups": lookups, "same-ids": sameIDs}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE FOLDER")
		os.Exit(2)
	}
	cases[os.Args[1]](newWorld(os.Args[2]))
}
