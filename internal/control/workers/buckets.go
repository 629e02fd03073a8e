package workers

import (
	"encoding/binary"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// Tables that differ in a few entries are compared by buckets of the workers' hashes, so that
// the cost of a pull depends on the number of differing entries and not on the size of the table. In a
// fleet whose workers come and go, the tables of two processes are rarely equal at any given moment.

const (
	// bucketCount is the number of buckets of a table. With 3,000 workers about twelve share a bucket.
	bucketCount = 256
	// bucketSize is the encoded size of a bucket's sum, in bytes.
	bucketSize = 4
	// bucketsMin is the least number of buckets that is sent.
	bucketsMin = 8
	// workersPerBucket is the average number of workers per bucket above which more buckets are sent. In a
	// small fleet, few buckets are sent, since the sums must not be larger than the entries themselves.
	workersPerBucket = 4
)

// buckets holds one sum for each bucket of a table.
type buckets [bucketCount]uint32

// toggle adds an entry's sum to its bucket, or removes it if it was added before.
func (b *buckets) toggle(id string, sum uint64) {
	b[Hash(id)%bucketCount] ^= uint32(sum) ^ uint32(sum>>32)
}

// folded returns the sums of a smaller number of buckets. count is a power of two.
func (b *buckets) folded(count int) []uint32 {
	sums := make([]uint32, count)
	for i, sum := range b {
		sums[i%count] ^= sum
	}
	return sums
}

// BucketSums encodes the table's sums for a pull. It returns nil for an empty table, so that the
// peer sends all its entries.
func (r *Registry) BucketSums() []byte {
	if len(r.entries) == 0 {
		return nil
	}
	count := bucketsMin
	for count < bucketCount && count*workersPerBucket < len(r.entries) {
		count *= 2
	}
	encoded := make([]byte, 0, count*bucketSize)
	for _, sum := range r.buckets.folded(count) {
		encoded = binary.LittleEndian.AppendUint32(encoded, sum)
	}
	return encoded
}

// Differing returns the workers changed after a version whose buckets differ from the sums in a
// request, with their ages. If the sums can't be decoded, it returns all workers changed after
// the version.
func (r *Registry) Differing(version uint64, sums []byte, now clock.Instant) []messages.Worker {
	count := len(sums) / bucketSize
	if count == 0 || count > bucketCount || count&(count-1) != 0 || len(sums)%bucketSize != 0 {
		return r.Since(version, now)
	}
	differs := make([]bool, count)
	for i, sum := range r.buckets.folded(count) {
		differs[i] = sum != binary.LittleEndian.Uint32(sums[i*bucketSize:])
	}
	return r.since(version, now, func(id string) bool { return differs[int(Hash(id)%uint32(count))] })
}
