package clock

import "time"

// DayMinute returns the minute of the day in the machine's local time.
func DayMinute() int {
	now := time.Now()
	return now.Hour()*60 + now.Minute()
}
