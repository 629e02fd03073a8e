package clock

import "time"

// DayMinute gives the minute of the day by the machine's own time of day.
func DayMinute() int {
	now := time.Now()
	return now.Hour()*60 + now.Minute()
}
