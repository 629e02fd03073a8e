package hollowfleet

import (
	"sort"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/constants"
)

// ages gathers how old observations are, in bins of 20 ms.
type ages struct {
	bins  [ageBins]int64
	never int64
	sum   int64
}

const (
	ageBins = 3000
	ageBin  = 20 * 1_000_000
)

func (a *ages) add(age clock.Duration, known bool) {
	a.sum++
	if !known {
		a.never++
		return
	}
	a.bins[min(int(age/ageBin), ageBins-1)]++
}

// Ages is how old the observations are that processes go by.
type Ages struct {
	MedianMs float64 `json:"median-ms"`
	P95Ms    float64 `json:"p95-ms"`
	// StaleShare is the part that is older than counts, NeverShare that which was never
	// heard at all.
	StaleShare float64 `json:"stale-share"`
	NeverShare float64 `json:"never-share"`
	Looks      int64   `json:"looks"`
}

func (a *ages) result() Ages {
	if a.sum == 0 {
		return Ages{}
	}
	found := Ages{Looks: a.sum, NeverShare: float64(a.never) / float64(a.sum)}
	// Of those ever heard: what was never heard has no age.
	lastContact := a.sum - a.never
	count, stale := int64(0), a.never
	for bin, many := range a.bins {
		at := float64(bin+1) * ageBin / 1e6
		if found.MedianMs == 0 && (count+many)*2 >= lastContact && lastContact > 0 {
			found.MedianMs = at
		}
		if found.P95Ms == 0 && (count+many)*20 >= lastContact*19 && lastContact > 0 {
			found.P95Ms = at
		}
		count += many
		if clock.Duration(bin)*ageBin >= constants.GossipStale {
			stale += many
		}
	}
	found.StaleShare = float64(stale) / float64(a.sum)
	return found
}

// Times sums up how long something took, in ms.
type Times struct {
	Count    int     `json:"count"`
	MedianMs float64 `json:"median-ms"`
	P95Ms    float64 `json:"p95-ms"`
	WorstMs  float64 `json:"worst-ms"`
	// Unfinished were not over when they were given up or the run ended; Missed is the
	// mean part of the processes that did not know by then.
	Unfinished int     `json:"unfinished"`
	Missed     float64 `json:"missed-share"`
}

func timesOf(taken []float64, missed []float64) Times {
	times := Times{Count: len(taken), Unfinished: len(missed)}
	sort.Float64s(taken)
	if count := len(taken); count > 0 {
		times.MedianMs, times.P95Ms, times.WorstMs = taken[count/2], taken[min(count-1, count*19/20)], taken[count-1]
	}
	for _, share := range missed {
		times.Missed += share / float64(len(missed))
	}
	return times
}
