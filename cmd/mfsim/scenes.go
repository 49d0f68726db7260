package main

import (
	"fmt"
	"slices"
	"strings"

	"myrtlefold/internal/verification/simulator"
)

// shownPerSceneMax limits the printed failures: runScene prints the failure of a seed only while at most this many seeds have
// passed or violated one of the scene's rules.
const shownPerSceneMax = 3

// listScenes prints each scene with its threat and its guard.
func listScenes() {
	for _, s := range simulator.Scenes {
		fmt.Printf("%-14s %s; guard: %s\n", s.Name, s.Threat, s.DisabledGuard)
	}
}

// findScene returns the scene with a name; it ends the process if there is none.
func findScene(name string) *simulator.Scene {
	i := slices.IndexFunc(simulator.Scenes, func(s simulator.Scene) bool { return s.Name == name })
	if i < 0 {
		exitWithUsageError("unknown scene %q, see --rules", name)
	}
	return &simulator.Scenes[i]
}

// runScene runs one scene with all seeds and returns the exit status. With its guard, no seed may violate a rule; without the
// guard, at least one seed must violate one of the scene's rules. In both cases the threat must have occurred.
func runScene(scene *simulator.Scene, opts options) int {
	passed, violating, occurrences := 0, 0, 0
	for seed := opts.from; seed < opts.from+opts.seeds; seed++ {
		world := scene.Run(seed, opts.simulatorPlan(), opts.withoutGuard)
		if opts.digest {
			fmt.Println(sceneDigest(scene, seed, world))
		}
		occurrences += scene.Occurrences(&world.Stats)
		switch {
		case world.Failure == "":
			passed++
		case scene.ViolatedIn(world):
			violating++
		}
		if world.Failure != "" && passed+violating <= shownPerSceneMax {
			fmt.Printf("seed %d: %s\n", seed, world.Failure)
			if !opts.withoutGuard {
				fmt.Println(world.Trace(opts.trace))
			}
		}
	}
	fmt.Printf("%s: %s\nthreat occurred %d times in %d seeds; all rules held in %d, a rule of the scene (%s) was violated in %d\n", scene.Name, scene.Threat, occurrences, opts.seeds, passed, scene.RuleNames(), violating)
	if !opts.withoutGuard && passed < int(opts.seeds) || opts.withoutGuard && violating == 0 || occurrences == 0 {
		return statusFailed
	}
	return 0
}

// sceneDigest returns the output line that .ci/digests compares.
func sceneDigest(s *simulator.Scene, seed uint64, w *simulator.World) string {
	return fmt.Sprintf("digest scene %s seed %d: %s", s.Name, seed, w.Digest())
}

// runAllScenes runs all scenes with their guards, as many at once as there are processors, prints their digests and failures,
// and returns the exit status.
func runAllScenes(opts options) int {
	lines := make([][]string, len(simulator.Scenes))
	failed := make([]bool, len(simulator.Scenes))
	forEach(len(simulator.Scenes), func(i int) {
		scene := &simulator.Scenes[i]
		for seed := opts.from; seed < opts.from+opts.seeds; seed++ {
			w := scene.Run(seed, opts.simulatorPlan(), false)
			lines[i] = append(lines[i], sceneDigest(scene, seed, w))
			if w.Failure != "" {
				lines[i] = append(lines[i], w.Failure)
				failed[i] = true
			}
		}
	})
	for _, l := range lines {
		fmt.Println(strings.Join(l, "\n"))
	}
	if slices.Contains(failed, true) {
		return statusFailed
	}
	return 0
}
