package tongs_test

import (
	"testing"

	"lemonarch/internal/almanac"
	"lemonarch/internal/tongs"
	"lemonarch/internal/watch"
)

func TestEachNamedCallPassesOnce(test *testing.T) {
	once, now := &tongs.Once{}, watch.Moment(1)
	if !once.First("a", now) || !once.First("b", now) || once.First("a", now) || once.First("b", now.Plus(almanac.FrameLife)) {
		test.Fatal("a call passed twice, or a new one not at all")
	}
	if !once.First("", now) || !once.First("", now) {
		test.Fatal("a call without a name was held up")
	}
	// What no frame can come from any more is forgotten, or memory would grow.
	if !once.First("a", now.Plus(almanac.FrameLife+2)) {
		test.Fatal("never forgotten")
	}
}
