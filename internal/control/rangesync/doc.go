// Package rangesync finds the differences between two replicas by range-based set reconciliation (Meyer, "Range-Based
// Set Reconciliation", 2023), in few messages of bounded size. One replica is the initiator, the other the responder;
// at the end of a session the initiator has been sent every entry that the responder had and it lacked.
//
// Each side keeps an Index of its keys with a fingerprint for each. The initiator sends the summary (count and digest)
// of a range of keys. If the responder's summary differs, it splits the range into parts of about equal count and
// replies with their summaries. The initiator continues with the parts that differ, until they are so small that the
// responder sends their entries. Equal sets cost one small message in each direction whatever their size; d differences
// among n keys cost about d log n digests.
//
// Replicas mostly differ in what has changed last. An Index therefore remembers its latest changes and so its earlier
// summaries. If the other side's summary equals an earlier one, only the changes since then are sent, or nothing at
// all.
//
// Correctness. Both sides may change during a session. A range is completed only if the responder's summary equals a
// present or earlier summary of the initiator, or if all entries of the range have been sent. Hence an entry that the
// responder had unchanged throughout the session is known to the initiator at the end; docs/rangesync.md has the
// argument. It requires that the entries of a replica never revert to an earlier state, as is true of the registers of
// package quorum. Entries that change during a session may be sent redundantly or not at all.
//
// The package is pure: it neither sends messages nor waits.
package rangesync
