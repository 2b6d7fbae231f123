package tuning

import "time"

// The release calendar.
const (
	// MaxWindows: of a calendar; 200 were measured.
	MaxWindows = 500
	// MaxClassName, bytes: of a class in a window, kept in the state service.
	MaxClassName = 100
	// MinWindow: what a window must at least have; shorter ones are over before
	// tasks have their images.
	MinWindow = time.Minute
	// MinSlip: a window may always open so late: what proves its track free takes a
	// report or two.
	MinSlip = 15 * time.Second
	// MaxWindow: a week, of a window's length and of each of its delays.
	MaxWindow = 7 * 24 * time.Hour
	// CalendarAhead: how far ahead windows are looked at for overlaps: more than a
	// year, with each change of the clock.
	CalendarAhead = 400 * 24 * time.Hour
	// MaxOccurrences: of one window that are looked at at once.
	MaxOccurrences = 10000
	// PlanDays: that `calendar plan` lists at most.
	PlanDays = 400
	// MaxCalendarBytes: of an unpacked document.
	MaxCalendarBytes = 4 << 20
	// MaxEndedOccurrences: occurrences of a track that are kept to be shown after their end.
	MaxEndedOccurrences = 4
	// MaxPlannedOccurrences: occurrences of a track that stand in the state service ahead of
	// their time; MinPlannedOccurrences: as soon as there are fewer, they are filled up by a
	// change of their own.
	MaxPlannedOccurrences = 6
	MinPlannedOccurrences = 2
	// PlannedAhead: how far ahead they may be.
	PlannedAhead = 62 * 24 * time.Hour
	// PrepareBoots, boot times: so long before its begin a window's waiting jobs count
	// as queued room; boots take up to 1.5 times the boot time.
	PrepareBoots = 1.5
	// MinPrepare: where no machine type is known yet.
	MinPrepare = 30 * time.Second
	// CalendarPollEvery: how often a track is looked at that waits for work to end.
	CalendarPollEvery = 250 * time.Millisecond
	// CalendarIdle: how often all tracks are looked at when nothing is due.
	CalendarIdle = 30 * time.Second
	// MaxCalendarLogged: jobs and windows that are remembered as logged; beyond that they are
	// logged once more.
	MaxCalendarLogged = 20000
	// CalendarChanges: tracks whose records change at a look, so that fifty windows at
	// midnight do not take a second's changes of all.
	CalendarChanges = 16
	// CalendarLateCheckEvery: how often jobs are looked for that wait for a window beyond their
	// time.
	CalendarLateCheckEvery = 30 * time.Second
	// HoldsGiveUp: a machine with a task that was to stop so long ago, unheard as long,
	// is deleted if it holds up the next window: a save takes some seconds, a lost
	// report or two as well.
	HoldsGiveUp = 10 * time.Second
	// CalendarStops: tasks stopped at a look when a window ends, so that one end does
	// not take all changes; a gang goes whole.
	CalendarStops = 100
)
