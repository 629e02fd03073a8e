package trafficstats

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// The range of the histograms, in tenths of a millisecond, and their precision in significant
// digits. For times up to two minutes, a bucket is at most 1/16 (6.25%) of its values wide, or 0.1 ms if
// that is more. A histogram takes about 2 KB.
const (
	histogramLowest  = 1
	histogramHighest = 1_200_000
	histogramDigits  = 1
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)
}

// observe adds a duration. One outside the range is recorded as the nearest end of the range.
func observe(histogram *hdrhistogram.Histogram, duration clock.Duration) {
	value := int64(clock.ToMilliseconds(duration) * 10)
	_ = histogram.RecordValue(min(max(value, histogramLowest), histogramHighest))
}

// encode returns the buckets that are not empty.
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

// Decode decodes a histogram. Its values are in tenths of a millisecond. Buckets
// that are out of range are ignored.
func Decode(encoded *messages.Histogram) *hdrhistogram.Histogram {
	snapshot := newHistogram().Export()
	for i, bucket := range encoded.Buckets {
		if int(bucket) < len(snapshot.Counts) && i < len(encoded.Counts) {
			snapshot.Counts[bucket] += max(encoded.Counts[i], 0)
		}
	}
	return hdrhistogram.Import(snapshot)
}

// Quantile returns a quantile of an encoded histogram, in milliseconds. percent is in [0, 100]. known
// is false if the histogram is empty.
func Quantile(encoded *messages.Histogram, percent float64) (milliseconds float64, known bool) {
	histogram := Decode(encoded)
	if histogram.TotalCount() == 0 {
		return 0, false
	}
	return float64(histogram.ValueAtQuantile(percent)) / 10, true
}
