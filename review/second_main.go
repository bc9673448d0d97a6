//go:build review2

// Command review-2 plays the cases of the second review that are scripts. Each case starts
// processes of sapphire-edge on loopback, with stand-ins for the systems around them in this
// process:
//
//	TROUBLE=0 review-2 prompts FOLDER    without the disruption
//
// It writes record.txt into the folder and exits with 1 if the rule was broken, 0 if it held
// and 2 if the case couldn't run.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"sapphirehead/internal/clock"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// caseLimit is the longest time that a case may take.
	caseLimit = 110 * clock.Second
)

// cases holds the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(ctx context.Context, play *play) (broken bool, err error){
	"failures": playFailures,
	"bodies":   playBodies,
	"breaks":   playBreaks,
	"prompts":  playPrompts,
	"takeups":  playTakeups,
	"versions": playVersions,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		return exitFailed
	}
	play, err := newPlay(filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer play.close()
	ctx, cancel := clock.System().WithTimeout(context.Background(), caseLimit)
	defer cancel()
	broken, err := cases[os.Args[1]](ctx, play)
	switch {
	case err != nil:
		play.record("the case couldn't run: %v", err)
		return exitFailed
	case broken:
		play.record("result: the rule was broken")
		return exitBroken
	default:
		play.record("result: the rule held")
		return exitHeld
	}
}
