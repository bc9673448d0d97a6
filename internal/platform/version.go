package platform

import "fmt"

// revisionBits is the number of bits of a version below its era. A million changes a
// second fill them in twelve days; eras up to 8191 remain exact as numbers of JSON.
const revisionBits = 40

// MaxEra and MaxRevision bound the parts of a version.
const (
	MaxEra      = 1<<(53-revisionBits) - 1
	MaxRevision = 1<<revisionBits - 1
)

// NewVersion returns the version for a revision of the store in an era. A store that is
// restored from an older copy gives out revisions again and counts a new era, so only
// both together order the states that it has been in:
//
//	era 1, revision 90 < era 2, revision 84
//
// Era 0 is that of a store that is never restored: its revisions are the versions. The
// parts must be from 0 to their bounds.
func NewVersion(era, revision int64) int64 { return era<<revisionBits | revision }

// EraOf returns the era of a version.
func EraOf(version int64) int64 { return version >> revisionBits }

// RevisionOf returns the store's revision of a version, 0 if there was no object.
func RevisionOf(version int64) int64 { return version & MaxRevision }

// FormatVersion returns the version as text for logs, as in "2/84".
func FormatVersion(version int64) string {
	return fmt.Sprintf("%d/%d", EraOf(version), RevisionOf(version))
}
