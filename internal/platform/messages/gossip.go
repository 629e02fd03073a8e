package messages

import (
	"encoding/binary"
	"hash/fnv"
)

// Packed words: the first byte of a list is the length of the fixed part of each of
// its words, so that a later version can make words longer and this one skips what
// it does not know.
const (
	loadBytes   = 7
	prefixBytes = 10
	// AgeUnitMs is the step in which ages of words are told: one byte reaches 4 s.
	AgeUnitMs = 16
	// tokenUnit is the step in which lengths of prefixes are told.
	tokenUnit = 16
	// partsLimit bounds the parts of a prefix that is told of.
	partsLimit = 8
)

// RunningUnknown says that a load word tells no load, only trust.
const RunningUnknown = 255

// The trust that a load word tells, always the speaker's own evidence.
const (
	HealthUnknown = 255
	HealthSuspect = 0
)

// LoadSample is one observation of a worker. It needs no origin: of two words on one
// worker the younger counts.
type LoadSample struct {
	// WorkerHash is the hash of the worker's id.
	WorkerHash uint32
	// Running is how many requests of all callers were there.
	Running int
	// AgeMs is how long ago the worker said so; it travels with the word.
	AgeMs int64
	// Health is the speaker's own evidence, never passed on.
	Health uint8
}

// WorkerHash is the short name of a worker in packed words.
func WorkerHash(worker string) uint32 {
	sum := fnv.New32a()
	sum.Write([]byte(worker))
	return sum.Sum32()
}

// ageByte rounds an age up: no word may seem younger than it is.
func ageByte(milliseconds int64) byte {
	return byte(min(max((milliseconds+AgeUnitMs-1)/AgeUnitMs, 0), 255))
}

// AppendLoad adds a word to a list.
func AppendLoad(list []byte, sample LoadSample) []byte {
	if len(list) == 0 {
		list = append(list, loadBytes)
	}
	list = binary.BigEndian.AppendUint32(list, sample.WorkerHash)
	return append(list, byte(min(max(sample.Running, 0), RunningUnknown)), ageByte(sample.AgeMs), sample.Health)
}

// ParseLoads reads a list; one that is cut short gives what is complete.
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

// AppendPrefix adds a residency word to a list. Worker is told by its short name.
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

// ParsePrefixes reads a list; name gives the worker of a short name, or nothing.
func ParsePrefixes(list []byte, name func(uint32) string) []Residency {
	if len(list) == 0 || list[0] < prefixBytes {
		return nil
	}
	size, list := int(list[0]), list[1:]
	var words []Residency
	for len(list) > 0 {
		parts := int(list[0])
		if parts == 0 || parts > partsLimit || len(list) < 1+8*parts+size {
			return words
		}
		path, fixed := list[1:1+8*parts], list[1+8*parts:]
		if worker := name(binary.BigEndian.Uint32(fixed)); worker != "" {
			words = append(words, Residency{Path: append([]byte(nil), path...), Worker: worker,
				Tokens: int(binary.BigEndian.Uint16(fixed[4:])) * tokenUnit, Probability: float32(fixed[6]) / 255,
				SampleAgeMs: int64(fixed[7]) * AgeUnitMs, AgeMs: int64(binary.BigEndian.Uint16(fixed[8:])) * AgeUnitMs})
		}
		list = fixed[size:]
	}
	return words
}
