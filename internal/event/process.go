package event

import "github.com/rs/zerolog"

// Events of processes and settings.
var (
	ProcessStarted   = Event{6001, "processStarted", zerolog.InfoLevel, "the process listens on its addresses"}
	ProcessStopping  = Event{6002, "processStopping", zerolog.InfoLevel, "a graceful stop began; requests in progress are finished first"}
	ProcessStopped   = Event{6003, "processStopped", zerolog.InfoLevel, "the graceful stop is complete"}
	StopCut          = Event{6004, "stopCut", zerolog.WarnLevel, "requests were still open at the end of the grace period and were aborted"}
	SettingsReloaded = Event{6005, "settingsReloaded", zerolog.InfoLevel, "the settings file was reloaded after SIGHUP"}
	SettingsInvalid  = Event{6006, "settingsInvalid", zerolog.ErrorLevel, "the settings file is invalid or unreadable; the previous settings stay in force"}
	LinesDropped     = Event{6007, "linesDropped", zerolog.WarnLevel, "log lines were dropped because they exceeded the rate limit or the output was blocked"}
)

var processEvents = []Event{ProcessStarted, ProcessStopping, ProcessStopped, StopCut, SettingsReloaded, SettingsInvalid, LinesDropped}
