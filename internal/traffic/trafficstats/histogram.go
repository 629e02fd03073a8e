package trafficstats

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// The histograms' range, in tenths of a millisecond, and their precision in significant
// digits (ours): up to two minutes within 5%, at about 2 KB each.
const (
	histogramLowest  = 1
	histogramHighest = 1_200_000
	histogramDigits  = 1
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)
}

// observe adds a time; one beyond the range counts as its end.
func observe(histogram *hdrhistogram.Histogram, time clock.Duration) {
	value := int64(clock.ToMilliseconds(time) * 10)
	_ = histogram.RecordValue(min(max(value, histogramLowest), histogramHighest))
}

// encode gives the buckets that are not empty.
func encode(histogram *hdrhistogram.Histogram) messages.Histogram {
	encoded := messages.Histogram{}
	for i, count := range histogram.Export().Counts {
		if count > 0 {
			encoded.Buckets = append(encoded.Buckets, uint16(i))
			encoded.Counts = append(encoded.Counts, count)
		}
	}
	return encoded
}

// Decode gives a histogram of an encoded one; buckets that are out of range are left out. Its
// values are tenths of a millisecond.
func Decode(encoded *messages.Histogram) *hdrhistogram.Histogram {
	snapshot := newHistogram().Export()
	for i, bucket := range encoded.Buckets {
		if int(bucket) < len(snapshot.Counts) && i < len(encoded.Counts) {
			snapshot.Counts[bucket] += max(encoded.Counts[i], 0)
		}
	}
	return hdrhistogram.Import(snapshot)
}

// Quantile gives a quantile of an encoded histogram in milliseconds, and false for an empty one.
func Quantile(encoded *messages.Histogram, percent float64) (milliseconds float64, known bool) {
	histogram := Decode(encoded)
	if histogram.TotalCount() == 0 {
		return 0, false
	}
	return float64(histogram.ValueAtQuantile(percent)) / 10, true
}
