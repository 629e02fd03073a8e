package messages

import (
	"encoding/binary"
	"hash/fnv"
)

// Packed samples: the first byte of a list is the length of the fixed part of each of its
// samples, so that a later version can append fields to samples and this version skips them.
const (
	loadBytes   = 7
	prefixBytes = 10
	// AgeUnitMs is the unit of ages in samples, in ms: one byte covers 4 s.
	AgeUnitMs = 16
	// tokenUnit is the unit of prefix lengths in samples, in tokens.
	tokenUnit = 16
	// partsLimit is the maximum number of parts of a prefix in a sample.
	partsLimit = 8
)

// RunningUnknown marks a load sample without a load, which contains only the health.
const RunningUnknown = 255

// The values of the health in a load sample, which is always the sender's own evidence. A receiver
// treats every value other than HealthSuspect as no suspicion.
const (
	// HealthUnknown means that the sender does not suspect the worker.
	HealthUnknown = 255
	// HealthSuspect means that the sender has ejected the worker.
	HealthSuspect = 0
)

// LoadSample is one observation of a worker. It does not name the sender: of two samples for one
// worker the newer one counts.
type LoadSample struct {
	// WorkerHash is the hash of the worker's id.
	WorkerHash uint32
	// Running is how many requests of all callers the worker had, or RunningUnknown.
	Running int
	// AgeMs is how long ago the worker reported it, in ms. It is kept when the sample is
	// forwarded.
	AgeMs int64
	// Health is the sender's own evidence. It is never forwarded.
	Health uint8
}

// WorkerHash returns the hash that identifies a worker in packed samples.
func WorkerHash(worker string) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(worker))
	return hash.Sum32()
}

// ageByte encodes an age, rounded up so that no sample appears newer than it is.
func ageByte(milliseconds int64) byte {
	return byte(min(max((milliseconds+AgeUnitMs-1)/AgeUnitMs, 0), 255))
}

// AppendLoad appends a load sample to a list.
func AppendLoad(list []byte, sample LoadSample) []byte {
	if len(list) == 0 {
		list = append(list, loadBytes)
	}
	list = binary.BigEndian.AppendUint32(list, sample.WorkerHash)
	return append(list, byte(min(max(sample.Running, 0), RunningUnknown)), ageByte(sample.AgeMs), sample.Health)
}

// ParseLoads decodes a list of load samples. Of a truncated list, it returns the complete ones.
func ParseLoads(list []byte) []LoadSample {
	if len(list) == 0 || list[0] < loadBytes {
		return nil
	}
	size, list := int(list[0]), list[1:]
	samples := make([]LoadSample, 0, len(list)/size)
	for ; len(list) >= size; list = list[size:] {
		samples = append(samples, LoadSample{WorkerHash: binary.BigEndian.Uint32(list), Running: int(list[4]),
			AgeMs: int64(list[5]) * AgeUnitMs, Health: list[6]})
	}
	return samples
}

// AppendPrefix appends a residency sample to a list. The worker is identified by its hash. A sample
// whose path has no parts, more than partsLimit, or an incomplete one is omitted.
func AppendPrefix(list []byte, sample Residency) []byte {
	parts := len(sample.Path) / 8
	if parts == 0 || parts > partsLimit || len(sample.Path)%8 != 0 {
		return list
	}
	if len(list) == 0 {
		list = append(list, prefixBytes)
	}
	list = append(list, byte(parts))
	list = append(list, sample.Path...)
	list = binary.BigEndian.AppendUint32(list, WorkerHash(sample.Worker))
	list = binary.BigEndian.AppendUint16(list, uint16(min(sample.Tokens/tokenUnit, 1<<16-1)))
	list = append(list, byte(min(max(sample.Probability, 0), 1)*255), ageByte(sample.SampleAgeMs))
	return binary.BigEndian.AppendUint16(list, uint16(min((sample.AgeMs+AgeUnitMs-1)/AgeUnitMs, 1<<16-1)))
}

// ParsePrefixes decodes a list of residency samples. The function name returns the worker with a
// hash, or an empty string if there is none.
func ParsePrefixes(list []byte, name func(uint32) string) []Residency {
	if len(list) == 0 || list[0] < prefixBytes {
		return nil
	}
	size, list := int(list[0]), list[1:]
	var samples []Residency
	for len(list) > 0 {
		parts := int(list[0])
		if parts == 0 || parts > partsLimit || len(list) < 1+8*parts+size {
			return samples
		}
		path, fixed := list[1:1+8*parts], list[1+8*parts:]
		if worker := name(binary.BigEndian.Uint32(fixed)); worker != "" {
			samples = append(samples, Residency{Path: append([]byte(nil), path...), Worker: worker,
				Tokens: int(binary.BigEndian.Uint16(fixed[4:])) * tokenUnit, Probability: float32(fixed[6]) / 255,
				SampleAgeMs: int64(fixed[7]) * AgeUnitMs, AgeMs: int64(binary.BigEndian.Uint16(fixed[8:])) * AgeUnitMs})
		}
		list = fixed[size:]
	}
	return samples
}
