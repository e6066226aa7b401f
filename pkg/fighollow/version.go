package fighollow

// revisionBits is the number of low bits of a version that hold the store's revision; the bits above hold its era.
const revisionBits = 40

// MaxEra is the highest era that a version can hold. Versions up to it are exact in a JSON number.
const MaxEra = 1<<(53-revisionBits) - 1

// NewVersion returns the version of an object that was written at a revision in an era of its store.
//
// The store of a platform can come back from an older copy: what was written after the copy is gone, and its revisions are
// given out again. Each return begins a new era, so versions grow across returns although revisions do not. Stores that
// never do that are in era 0, in which versions are revisions.
func NewVersion(era, revision uint64) uint64 { return era<<revisionBits | revision }

// VersionEra returns the era of a version.
func VersionEra(version uint64) uint64 { return version >> revisionBits }

// VersionRevision returns the store's revision of a version.
func VersionRevision(version uint64) uint64 { return version & (1<<revisionBits - 1) }

// EraStore is implemented by an ObjectStore that can come back from an older copy.
type EraStore interface {
	// Era returns the newest era of which an answer was received.
	Era() uint64
}

// StoreEra returns the newest era known of s, or 0 if s is not an EraStore.
func StoreEra(s ObjectStore) uint64 {
	if e, ok := s.(EraStore); ok {
		return e.Era()
	}
	return 0
}
