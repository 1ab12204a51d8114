package ranker_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"example.org/rattanwood/ranker"
)

const keyCount = 100_000

func topRanked(key uint64, names []string) string {
	best, winner := uint64(0), ""
	for _, name := range names {
		if s := ranker.Score(key, ranker.Seed(name)); s >= best {
			best, winner = s, name
		}
	}
	return winner
}

func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("vm-%d", i)
	}
	return list
}

func TestRemovingANodeMovesOnlyItsKeys(t *testing.T) {
	c := qt.New(t)
	all := names(15)
	for key := range uint64(keyCount) {
		before := topRanked(key, all)
		after := topRanked(key, all[:14])
		if before != all[14] {
			c.Assert(after, qt.Equals, before)
		}
	}
}

func TestKeysSpreadEvenly(t *testing.T) {
	c := qt.New(t)
	all := names(14)
	count := map[string]int{}
	for key := range uint64(keyCount) {
		count[topRanked(key, all)]++
	}
	mean := float64(keyCount) / float64(len(all))
	for name, n := range count {
		c.Check(float64(n) < 1.05*mean, qt.IsTrue, qt.Commentf("%s has %d", name, n))
	}
}
