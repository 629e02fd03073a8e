package workers

import (
	"encoding/binary"

	"lemonarch/internal/platform/clock"
	"lemonarch/internal/platform/messages"
)

// Tables that differ in a few entries are compared by buckets of the workers' hashes, so that
// a pull costs as much as what differs, and not as much as the table: in a fleet whose workers
// come and go, the tables of two processes are hardly ever alike at one moment.

const (
	// bucketCount is how many buckets a table keeps, bucketSize the bytes of one sum. At 3,000
	// workers about twelve share a bucket (ours).
	bucketCount = 256
	bucketSize  = 4
	// bucketsMin is the least number of buckets that is sent, and workersPerBucket how many
	// workers a bucket should have (ours): sums must not outweigh the entries of a small fleet.
	bucketsMin       = 8
	workersPerBucket = 4
)

// buckets are the sums of a table by bucket.
type buckets [bucketCount]uint32

// toggle adds an entry's sum to its bucket, or takes it out again.
func (b *buckets) toggle(id string, sum uint64) {
	b[Hash(id)%bucketCount] ^= uint32(sum) ^ uint32(sum>>32)
}

// folded gives the sums of a smaller number of buckets, a power of two.
func (b *buckets) folded(count int) []uint32 {
	sums := make([]uint32, count)
	for i, sum := range b {
		sums[i%count] ^= sum
	}
	return sums
}

// BucketSums encodes the table's sums for a pull; nothing for an empty table, of which
// everything is wanted.
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

// Differing gives the workers changed after a count, aged, whose buckets differ from the sums
// that an asker sent. Sums that can't be read leave nothing out.
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
