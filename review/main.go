//go:build review

package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: cases CASE RECORD")
		os.Exit(statusNotRun)
	}
	cases := map[string]func(*env, bool) int{"stop": stopCase, "drill": drillCase, "upgrade": upgradeCase}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(statusNotRun)
	}
	env := newEnv(os.Args[2])
	status := run(env, os.Getenv("TROUBLE") != "0")
	env.close()
	os.Exit(status)
}
