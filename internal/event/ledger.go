package event

import "github.com/rs/zerolog"

// Events of the ledger of idempotency keys.
var (
	KeyRefused        = Event{5001, "keyRefused", zerolog.InfoLevel, "a request was refused because of its idempotency key"}
	HolderRegistered  = Event{5002, "holderRegistered", zerolog.InfoLevel, "this process has registered as a holder of idempotency keys and answers for keys from now on"}
	LedgerWritten     = Event{5003, "ledgerWritten", zerolog.InfoLevel, "the epochs of the region's ledger were extended or a new epoch was appended"}
	LedgerNotWritten  = Event{5004, "ledgerNotWritten", zerolog.WarnLevel, "the ledger object could not be written; requests with an idempotency key are refused once the last epoch ends"}
	KeysDelegated     = Event{5005, "keysDelegated", zerolog.InfoLevel, "a stopping process handed its keys over to another entry"}
	SettleLost        = Event{5006, "settleLost", zerolog.WarnLevel, "the outcome of a request with an idempotency key did not reach the key's holder; the key stays in progress until it expires"}
	KeysNotHandedOver = Event{5007, "keysNotHandedOver", zerolog.WarnLevel, "a stopping process could not hand its keys over; requests with them are answered as unknown until a new epoch"}
)

var ledgerEvents = []Event{KeyRefused, HolderRegistered, LedgerWritten, LedgerNotWritten, KeysDelegated, SettleLost, KeysNotHandedOver}
