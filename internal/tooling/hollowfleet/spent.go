package hollowfleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// spent is what a process had used by a moment.
type spent struct {
	user, system float64
	resident     float64
	own          float64
}

// ticksASecond is the unit of processor time in the kernel's tables.
const ticksASecond = 100

// spentBy reads the kernel's tables for a process; zero where it is gone.
func spentBy(process int) spent {
	found := spent{}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process))
	if err != nil {
		return found
	}
	// The name in brackets may hold blanks; what follows it does not.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) > 12 {
		user, _ := strconv.ParseFloat(fields[11], 64)
		system, _ := strconv.ParseFloat(fields[12], 64)
		found.user, found.system = user*1000/ticksASecond, system*1000/ticksASecond
	}
	text, _ = os.ReadFile(fmt.Sprintf("/proc/%d/smaps_rollup", process))
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kilobytes, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "Rss:":
			found.resident = kilobytes / 1024
		case "Private_Clean:", "Private_Dirty:":
			found.own += kilobytes / 1024
		}
	}
	return found
}

func (r *realFleet) spent() []spent {
	var all []spent
	for _, child := range r.children {
		all = append(all, spentBy(child.Process.Pid))
	}
	return all
}

// sumUp gives the mean of each role.
func (r *realFleet) sumUp(before, after []spent) *RealResult {
	result := &RealResult{Plan: r.plan, Roles: map[string]RealRole{}}
	for i, role := range r.roles {
		entry := result.Roles[role]
		system := (after[i].system - before[i].system) / r.plan.CountS
		busy := (after[i].user-before[i].user)/r.plan.CountS + system
		entry.Processes++
		entry.ProcessorMs += busy
		entry.SystemMs += system
		entry.WorstMs = max(entry.WorstMs, busy)
		entry.ResidentMB += after[i].resident
		entry.OwnMB += after[i].own
		result.Roles[role] = entry
	}
	for role, entry := range result.Roles {
		count := float64(entry.Processes)
		entry.ProcessorMs, entry.SystemMs, entry.ResidentMB, entry.OwnMB = entry.ProcessorMs/count, entry.SystemMs/count, entry.ResidentMB/count, entry.OwnMB/count
		result.Roles[role] = entry
	}
	return result
}
