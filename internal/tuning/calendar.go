package tuning

import "time"

// The release calendar.
const (
	// MaxWindows is the maximum number of windows in a calendar.
	MaxWindows = 500
	// MaxClassName is the maximum length, in bytes, of a class name in a window; it is stored in
	// the state service.
	MaxClassName = 100
	// MinWindow is the minimum length of a window. Shorter ones are over before tasks have pulled
	// their images.
	MinWindow = time.Minute
	// MinSlip is the delay with which any window may still open, even if it allows less itself: it
	// takes a heartbeat or two to prove that its track is free.
	MinSlip = 15 * time.Second
	// MaxWindow is the maximum length of a window and of each of its delays: a week.
	MaxWindow = 7 * 24 * time.Hour
	// CalendarAhead is how far ahead windows are checked for overlaps: more than a year, so that
	// every daylight-saving change is covered.
	CalendarAhead = 400 * 24 * time.Hour
	// MaxOccurrences is the maximum number of occurrences of one window that are computed at once.
	MaxOccurrences = 10000
	// PlanDays is the maximum number of days that `calendar plan` lists.
	PlanDays = 400
	// MaxCalendarBytes is the maximum size of a decompressed calendar document in bytes.
	MaxCalendarBytes = 4 << 20
	// MaxEndedOccurrences is the number of a track's ended occurrences that are kept for display.
	MaxEndedOccurrences = 4
	// MaxPlannedOccurrences is the maximum number of a track's planned occurrences in the state
	// service.
	MaxPlannedOccurrences = 6
	// MinPlannedOccurrences is the number of planned occurrences below which a track's record is
	// written just to add more. Otherwise they are added with the record's next write.
	MinPlannedOccurrences = 2
	// PlannedAhead is how far ahead occurrences are planned in the state service.
	PlannedAhead = 62 * 24 * time.Hour
	// PrepareBoots is the multiple of the slowest machine type's boot time for which a window's
	// waiting jobs count as demand before it begins. Boots take up to 1.5 times the boot time.
	PrepareBoots = 1.5
	// MinPrepare is the minimum of the time that PrepareBoots gives, and its value while no machine
	// type is known.
	MinPrepare = 30 * time.Second
	// CalendarPollEvery is the interval at which a track that waits for tasks to end is checked.
	CalendarPollEvery = 250 * time.Millisecond
	// CalendarIdle is the interval at which all tracks are checked while nothing is due.
	CalendarIdle = 30 * time.Second
	// MaxCalendarLogged is the maximum number of jobs and windows that are remembered as logged.
	// Beyond that all are forgotten and may be logged once more.
	MaxCalendarLogged = 20000
	// CalendarChanges is the maximum number of tracks whose records one pass changes, so that
	// fifty windows at midnight do not use up all writes of a second.
	CalendarChanges = 16
	// CalendarLateCheckEvery is the interval of the checks for jobs that wait for a window and
	// cannot end by their deadline.
	CalendarLateCheckEvery = 30 * time.Second
	// BlockedWindowGiveUp is the time after which a machine is deleted if it is unresponsive and
	// one of its tasks, which was told to stop, blocks the next window. A checkpoint takes some
	// seconds, and so do one or two lost heartbeats.
	BlockedWindowGiveUp = 10 * time.Second
	// CalendarStops is the number of tasks after which a pass stops no more tasks for windows that
	// end, so that one end does not use up all writes. The tasks of a gang stop together.
	CalendarStops = 100
)
