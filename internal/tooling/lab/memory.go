package lab

import (
	"fmt"
	"os"

	"lemonarch/internal/platform/constants"
)

// checkMemory returns an error if so many processes are expected to use more than their share of the
// machine's memory.
func checkMemory(processes int) error {
	total, err := machineMemory()
	if err != nil {
		return ErrInvalidLab.Wrap(err, "memory of this machine")
	}
	limit := int(float64(total) * constants.LabMemoryShare / constants.LabProcessMemory)
	if processes > limit {
		return ErrInvalidLab.New(fmt.Sprintf("gateways, controllers and stores: %d processes in total, want at most %d on a machine with %d MB of memory",
			processes, limit, total>>20))
	}
	return nil
}

// machineMemory returns the memory of this machine in bytes.
func machineMemory() (int64, error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	var kilobytes int64
	if _, err = fmt.Sscanf(string(text), "MemTotal: %d kB", &kilobytes); err != nil {
		return 0, err
	}
	return kilobytes << 10, nil
}
