package main

import (
	"fmt"
	"slices"
	"strings"

	"myrtlefold/internal/verification/simulator"
)

// shownPerScene is how many seeds of a scene that broke a rule are printed.
const shownPerScene = 3

// listScenes prints the rules' scenes.
func listScenes() {
	for _, s := range simulator.Scenes {
		fmt.Printf("%-14s %s; guard: %s\n", s.Name, s.Threat, s.DisabledGuard)
	}
}

// findScene finds a scene by its name; it ends the program if there is none.
func findScene(name string) *simulator.Scene {
	i := slices.IndexFunc(simulator.Scenes, func(s simulator.Scene) bool { return s.Name == name })
	if i < 0 {
		usage("no rule %q, see --rules", name)
	}
	return &simulator.Scenes[i]
}

// runScene runs one scene with all seeds and returns the exit status. With its guard no seed may break a rule; without
// it, some seed must break one of the scene's.
func runScene(scene *simulator.Scene, chosen options) int {
	held, shown, occurrences := 0, 0, 0
	for seed := chosen.from; seed < chosen.from+chosen.seeds; seed++ {
		world := scene.Run(seed, chosen.fleet(), chosen.withoutGuard)
		if chosen.digest {
			fmt.Println(sceneDigest(scene, seed, world))
		}
		occurrences += scene.Occurrences(&world.Stats)
		switch {
		case world.Failure == "":
			held++
		case scene.ShownBy(world):
			shown++
		}
		if world.Failure != "" && held+shown <= shownPerScene {
			fmt.Printf("seed %d: %s\n", seed, world.Failure)
			if !chosen.withoutGuard {
				fmt.Println(world.Trace(chosen.trace))
			}
		}
	}
	fmt.Printf("%s: %s\ncaused %d times in %d seeds; held in %d, broke %q in %d\n", scene.Name, scene.Threat, occurrences, chosen.seeds, held, scene.RuleNames(), shown)
	if !chosen.withoutGuard && held < int(chosen.seeds) || chosen.withoutGuard && shown == 0 || occurrences == 0 {
		return statusFailed
	}
	return 0
}

// sceneDigest is the line that .ci/digests compares.
func sceneDigest(s *simulator.Scene, seed uint64, w *simulator.World) string {
	return fmt.Sprintf("digest scene %s seed %d: %s", s.Name, seed, w.Digest())
}

// runAllScenes runs all scenes, as many at once as there are processors, prints their digests and returns the exit status.
func runAllScenes(chosen options) int {
	lines := make([][]string, len(simulator.Scenes))
	failed := make([]bool, len(simulator.Scenes))
	forEach(len(simulator.Scenes), func(i int) {
		scene := &simulator.Scenes[i]
		for seed := chosen.from; seed < chosen.from+chosen.seeds; seed++ {
			w := scene.Run(seed, chosen.fleet(), false)
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
