package tuning

import "time"

// The release calendar.
const (
	// MostWindows: of a calendar; 200 were measured.
	MostWindows = 500
	// MostClassName, bytes: of a class in a window, kept in the state service.
	MostClassName = 100
	// LeastWindow: what a window must at least have; shorter ones are over before
	// tasks have their images.
	LeastWindow = time.Minute
	// LeastSlip: a window may always open so late: what proves its track free takes a
	// report or two.
	LeastSlip = 15 * time.Second
	// MostWindow: a week, of a window's length and of each of its delays.
	MostWindow = 7 * 24 * time.Hour
	// CalendarAhead: how far ahead windows are looked at for overlaps: more than a
	// year, with each change of the clock.
	CalendarAhead = 400 * 24 * time.Hour
	// MostOccurrences: of one window that are looked at at once.
	MostOccurrences = 10000
	// PlanDays: that `calendar plan` lists at most.
	PlanDays = 400
	// MostCalendarBytes: of an unpacked document.
	MostCalendarBytes = 4 << 20
	// EndedKept: occurrences of a track that are kept to be shown after their end.
	EndedKept = 4
	// PlannedMost: occurrences of a track that stand in the state service ahead of
	// their time; PlannedLeast: as soon as there are fewer, they are filled up by a
	// change of their own.
	PlannedMost  = 6
	PlannedLeast = 2
	// PlannedAhead: how far ahead they may be.
	PlannedAhead = 62 * 24 * time.Hour
	// PrepareBoots, boot times: so long before its begin a window's waiting jobs count
	// as queued room; boots take up to 1.5 times the boot time.
	PrepareBoots = 1.5
	// PrepareLeast: where no machine type is known yet.
	PrepareLeast = 30 * time.Second
	// CalendarLook: how often a track is looked at that waits for work to end.
	CalendarLook = 250 * time.Millisecond
	// CalendarIdle: how often all tracks are looked at when nothing is due.
	CalendarIdle = 30 * time.Second
	// CalendarTold: jobs and windows that are remembered as told; beyond that they are
	// told once more.
	CalendarTold = 20000
	// CalendarChanges: tracks whose records change at a look, so that fifty windows at
	// midnight do not take a second's changes of all.
	CalendarChanges = 16
	// CalendarTell: how often jobs are looked for that wait for a window beyond their
	// time.
	CalendarTell = 30 * time.Second
	// HoldsGiveUp: a machine with a task that was to stop so long ago, unheard as long,
	// is deleted if it holds up the next window: a save takes some seconds, a lost
	// report or two as well.
	HoldsGiveUp = 10 * time.Second
	// CalendarStops: tasks stopped at a look when a window ends, so that one end does
	// not take all changes; a gang goes whole.
	CalendarStops = 100
)
