package modelcheck

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// TestWalk checks that long random walks through the large worlds (simulated configurations) violate no
// property.
func TestWalk(t *testing.T) {
	for _, cfg := range WalkedWorlds() {
		t.Run(cfg.Name, func(t *testing.T) { checkWalks(t, cfg) })
	}
}

func checkWalks(t *testing.T, cfg *Config) {
	actions, deepest := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w, err := newWorld(cfg)
		if err != nil {
			t.Fatal(err)
		}
		// Each seed determines the next 30 draws, so rapid can shrink a walk by dropping seeds.
		seeds := rapid.SliceOfN(rapid.Uint64(), 1, 60).Draw(t, "seeds")
		drawn, random := 0, rand.New(rand.NewPCG(seeds[0], 0))
		path, violation := walk(w, func(n int) int {
			if drawn++; drawn%30 == 0 {
				random = rand.New(rand.NewPCG(seeds[drawn/30%len(seeds)], uint64(drawn)))
			}
			return random.IntN(n)
		})
		actions += len(path)
		deepest = max(deepest, len(path))
		if violation != nil {
			path, violation = shorten(cfg, path, violation)
			t.Fatalf("%v\n%s", violation, formatSteps(cfg, &Result{Path: path, Violation: violation}))
		}
	})
	t.Logf("%d actions in all random walks together, %d in the longest walk", actions, deepest)
}
